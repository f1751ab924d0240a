#include "decision/records/accepted_change.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include "decision/records/proposal.hpp"

namespace waxwingvalve::decision::records
{

namespace json = boost::json;
using base::fail;
using base::result_code;

std::string digest_of(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

accepted_change to_change(const proposal& accepted)
{
    return {
        .revision = accepted.accepted_as,
        .key = accepted.record_key,
        .proposal_id = accepted.id,
        .author = accepted.author,
        .reviewer = accepted.reviewer,
        .closed_by = accepted.closed_by,
        .digest = digest_of(accepted.record_json),
        .record_json = accepted.record_json,
        .steps = accepted.steps};
}

std::string to_json(const accepted_change& from)
{
    return json::serialize(json::object{
        {"revision", from.revision},
        {"key", from.key},
        {"proposal", from.proposal_id},
        {"author", from.author},
        {"reviewer", from.reviewer},
        {"closer", from.closed_by},
        {"digest", from.digest},
        {"record", from.record_json},
        {"steps", to_json_array(from.steps)}});
}

base::result<accepted_change> parse_change(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return fail(result_code::platform_answer_invalid, "accepted change");
    }
    const auto& in = parsed.get_object();
    accepted_change out{
        .revision = number_at(in, "revision"),
        .key = text_at(in, "key"),
        .proposal_id = text_at(in, "proposal"),
        .author = text_at(in, "author"),
        .reviewer = text_at(in, "reviewer"),
        .closed_by = text_at(in, "closer"),
        .digest = text_at(in, "digest"),
        .record_json = text_at(in, "record"),
        .steps = parse_steps(in)};
    if (out.revision == 0 || out.key.empty())
    {
        return fail(result_code::platform_answer_invalid, "accepted change");
    }
    if (out.digest != digest_of(out.record_json))
    {
        return fail(result_code::snapshot_corrupt, out.key);
    }
    return out;
}

} // namespace waxwingvalve::decision::records
