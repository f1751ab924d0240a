#include "decision/filings/claim_row.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace waxwingvalve::decision::filings
{
namespace
{

namespace json = boost::json;
using base::result_code;

constexpr std::int64_t row_schema_version = 1;

struct state_name
{
    claim_state state{};
    std::string_view name{};
};

constexpr auto state_names = std::to_array<state_name>(
    {{claim_state::claimed, "claimed"},
     {claim_state::done, "done"},
     {claim_state::refused, "refused"},
     {claim_state::unknown, "unknown"}});

auto invalid(std::string_view field)
{
    return base::fail(
        result_code::platform_answer_invalid,
        "filing row: " + std::string{field});
}

std::optional<std::string> find_string(
    const json::object& fields, std::string_view name)
{
    const auto* value = fields.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        return std::nullopt;
    }
    return std::string{value->get_string()};
}

std::optional<std::int64_t> find_integer(
    const json::object& fields, std::string_view name)
{
    const auto* value = fields.if_contains(name);
    if (value == nullptr || !value->is_int64())
    {
        return std::nullopt;
    }
    return value->get_int64();
}

std::optional<claim_state> parse_state(const json::object& fields)
{
    const auto name = find_string(fields, "state");
    const auto* found =
        std::ranges::find(state_names, name.value_or(""), &state_name::name);
    if (found == state_names.end())
    {
        return std::nullopt;
    }
    return found->state;
}

base::result<std::optional<claim_answer>> parse_answer(
    const json::object& fields)
{
    const auto* value = fields.if_contains("answer");
    if (value == nullptr)
    {
        return std::optional<claim_answer>{};
    }
    const auto* object = value->if_object();
    if (object == nullptr)
    {
        return invalid("answer");
    }
    const auto status = find_integer(*object, "status");
    const auto type = find_string(*object, "content_type");
    const auto body = find_string(*object, "body");
    if (!status || !type || !body)
    {
        return invalid("answer");
    }
    return std::optional{
        claim_answer{static_cast<unsigned>(*status), *type, *body}};
}

} // namespace

bool fits_claim_row(std::string_view body)
{
    const auto is_allowed = [](char c)
    { return (c >= ' ' && c <= '~') || c == '\n' || c == '\r' || c == '\t'; };
    return body.size() <= max_claim_body_bytes &&
           std::ranges::all_of(body, is_allowed);
}

std::string to_json(const claim_row& row)
{
    const auto* name =
        std::ranges::find(state_names, row.state, &state_name::state);
    json::object row_object{
        {"schema_version", row_schema_version},
        {"attempt", row.attempt},
        {"digest", row.digest},
        {"state", name->name}};
    if (row.reason != 0)
    {
        row_object["reason"] = row.reason;
    }
    if (row.answer)
    {
        row_object["answer"] = {
            {"status", row.answer->status},
            {"content_type", row.answer->content_type},
            {"body", row.answer->body}};
    }
    return json::serialize(row_object);
}

base::result<claim_row> parse_claim_row(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    const auto* fields = failure ? nullptr : parsed.if_object();
    if (fields == nullptr ||
        find_integer(*fields, "schema_version") != row_schema_version)
    {
        return invalid("schema_version");
    }
    const auto attempt = find_string(*fields, "attempt");
    const auto digest = find_string(*fields, "digest");
    const auto state = parse_state(*fields);
    if (!attempt || !digest || !state)
    {
        return invalid("attempt, digest or state");
    }
    BOOST_OUTCOME_TRY(auto answer, parse_answer(*fields));
    const auto reason = find_integer(*fields, "reason").value_or(0);
    return claim_row{
        *attempt,
        *digest,
        *state,
        static_cast<std::uint16_t>(reason),
        std::move(answer)};
}

} // namespace waxwingvalve::decision::filings
