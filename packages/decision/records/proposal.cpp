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

bool is_closed(const proposal& subject)
{
    return subject.state == proposal_state::accepted ||
           subject.state == proposal_state::rejected;
}

auto closed_failure(const proposal& subject)
{
    return fail(
        result_code::proposal_closed,
        subject.id + " was " + std::string{to_string(subject.state)} + " by " +
            subject.closed_by);
}

} // namespace

std::string_view to_string(proposal_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

base::result<proposal> review(proposal subject, std::string_view reviewer)
{
    if (is_closed(subject))
    {
        return closed_failure(subject);
    }
    if (reviewer == subject.author)
    {
        return fail(
            result_code::author_cannot_accept,
            subject.author + " wrote " + subject.id +
                "; another operator must review it");
    }
    subject.reviewer = reviewer;
    subject.state = proposal_state::reviewed;
    return subject;
}

base::result<proposal> accept(
    proposal subject, std::string_view operator_name, revision head_revision)
{
    if (is_closed(subject))
    {
        return closed_failure(subject);
    }
    if (subject.state != proposal_state::reviewed)
    {
        return fail(result_code::review_missing, subject.id);
    }
    subject.closed_by = operator_name;
    subject.state = proposal_state::accepted;
    subject.accepted_as = head_revision + 1;
    return subject;
}

base::result<proposal> reject(proposal subject, std::string_view operator_name)
{
    if (is_closed(subject))
    {
        return closed_failure(subject);
    }
    subject.closed_by = operator_name;
    subject.state = proposal_state::rejected;
    return subject;
}

bool has_operation(const proposal& subject, std::string_view operation_id)
{
    return std::ranges::any_of(
        subject.steps,
        [&](const step& taken) { return taken.operation_id == operation_id; });
}

std::string to_json(const proposal& subject)
{
    return json::serialize(json::object{
        {"id", subject.id},
        {"author", subject.author},
        {"reviewer", subject.reviewer},
        {"closer", subject.closed_by},
        {"state", to_string(subject.state)},
        {"based_on", subject.based_on},
        {"accepted_as", subject.accepted_as},
        {"key", subject.record_key},
        {"based_on_record", subject.based_on_record},
        {"record", subject.record_json},
        {"steps", to_json_array(subject.steps)}});
}

base::result<proposal> parse_proposal(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return fail(
            result_code::platform_answer_invalid,
            "proposal: expected a JSON object");
    }
    const auto& object = parsed.get_object();
    const auto state = std::ranges::find(state_names, text_at(object, "state"));
    if (state == state_names.end())
    {
        return fail(
            result_code::platform_answer_invalid, "proposal: unknown state");
    }
    return proposal{
        .id = text_at(object, "id"),
        .author = text_at(object, "author"),
        .reviewer = text_at(object, "reviewer"),
        .closed_by = text_at(object, "closer"),
        .state = static_cast<proposal_state>(state - state_names.begin()),
        .based_on = number_at(object, "based_on"),
        .record_key = text_at(object, "key"),
        .based_on_record = number_at(object, "based_on_record"),
        .accepted_as = number_at(object, "accepted_as"),
        .record_json = text_at(object, "record"),
        .steps = parse_steps(object)};
}

} // namespace waxwingvalve::decision::records
