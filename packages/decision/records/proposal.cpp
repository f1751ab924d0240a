#include "decision/records/proposal.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace waxwingvalve::decision::records
{
namespace
{

namespace json = boost::json;
using base::fail;
using base::result_code;

constexpr std::array<std::string_view, 4> state_names{
    "open", "reviewed", "accepted", "rejected"};

bool closed(const proposal& one)
{
    return one.state == proposal_state::accepted ||
           one.state == proposal_state::rejected;
}

auto closed_failure(const proposal& one)
{
    return fail(
        result_code::proposal_closed,
        one.id + " was " + std::string{to_string(one.state)} + " by " +
            one.closed_by);
}

} // namespace

std::string_view to_string(proposal_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

base::result<proposal> review(proposal from, std::string_view reviewer)
{
    if (closed(from))
    {
        return closed_failure(from);
    }
    if (reviewer == from.author)
    {
        return fail(
            result_code::author_cannot_accept,
            from.author + " wrote " + from.id + "; the partner reviews it");
    }
    from.reviewer = reviewer;
    from.state = proposal_state::reviewed;
    return from;
}

base::result<proposal> accept(proposal from, std::string_view by, revision head)
{
    if (closed(from))
    {
        return closed_failure(from);
    }
    if (from.state != proposal_state::reviewed)
    {
        return fail(result_code::review_missing, from.id);
    }
    from.closed_by = by;
    from.state = proposal_state::accepted;
    from.accepted_as = head + 1;
    return from;
}

base::result<proposal> reject(proposal from, std::string_view by)
{
    if (closed(from))
    {
        return closed_failure(from);
    }
    from.closed_by = by;
    from.state = proposal_state::rejected;
    return from;
}

bool has_operation(const proposal& one, std::string_view operation_id)
{
    return std::ranges::any_of(
        one.steps,
        [&](const step& done) { return done.operation_id == operation_id; });
}

std::string to_json(const proposal& from)
{
    return json::serialize(json::object{
        {"id", from.id},
        {"author", from.author},
        {"reviewer", from.reviewer},
        {"closer", from.closed_by},
        {"state", to_string(from.state)},
        {"based_on", from.based_on},
        {"accepted_as", from.accepted_as},
        {"key", from.record_key},
        {"based_on_record", from.based_on_record},
        {"record", from.record_json},
        {"steps", to_json_array(from.steps)}});
}

base::result<proposal> parse_proposal(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return fail(result_code::platform_answer_invalid, "proposal");
    }
    const auto& in = parsed.get_object();
    const auto state = std::ranges::find(state_names, text_at(in, "state"));
    if (state == state_names.end())
    {
        return fail(result_code::platform_answer_invalid, "proposal state");
    }
    return proposal{
        .id = text_at(in, "id"),
        .author = text_at(in, "author"),
        .reviewer = text_at(in, "reviewer"),
        .closed_by = text_at(in, "closer"),
        .state = static_cast<proposal_state>(state - state_names.begin()),
        .based_on = number_at(in, "based_on"),
        .record_key = text_at(in, "key"),
        .based_on_record = number_at(in, "based_on_record"),
        .accepted_as = number_at(in, "accepted_as"),
        .record_json = text_at(in, "record"),
        .steps = parse_steps(in)};
}

} // namespace waxwingvalve::decision::records
