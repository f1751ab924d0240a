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

std::string to_json(const accepted_change& change)
{
    return json::serialize(json::object{
        {"revision", change.revision},
        {"key", change.key},
        {"proposal", change.proposal_id},
        {"author", change.author},
        {"reviewer", change.reviewer},
        {"closer", change.closed_by},
        {"digest", change.digest},
        {"record", change.record_json},
        {"steps", to_json_array(change.steps)}});
}

base::result<accepted_change> parse_change(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return fail(
            result_code::platform_answer_invalid,
            "accepted change: expected a JSON object");
    }
    const auto& object = parsed.get_object();
    accepted_change change{
        .revision = number_at(object, "revision"),
        .key = text_at(object, "key"),
        .proposal_id = text_at(object, "proposal"),
        .author = text_at(object, "author"),
        .reviewer = text_at(object, "reviewer"),
        .closed_by = text_at(object, "closer"),
        .digest = text_at(object, "digest"),
        .record_json = text_at(object, "record"),
        .steps = parse_steps(object)};
    if (change.revision == 0 || change.key.empty())
    {
        return fail(
            result_code::platform_answer_invalid,
            "accepted change: revision or key missing");
    }
    if (change.digest != digest_of(change.record_json))
    {
        return fail(result_code::snapshot_corrupt, change.key);
    }
    return change;
}

} // namespace waxwingvalve::decision::records
