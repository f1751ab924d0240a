#include "net/answers.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace waxwingvalve::net
{
namespace
{

using base::result_code;

// HTTP statuses, RFC 9110, section 15; 429 and 431: RFC 6585.
enum class http_status : unsigned
{
    bad_request = 400,
    unauthorized = 401,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    conflict = 409,
    content_too_large = 413,
    unprocessable = 422,
    too_many_requests = 429,
    head_too_large = 431,
    bad_gateway = 502,
    unavailable = 503,
    gateway_timeout = 504,
};

http_status status_of(result_code code)
{
    switch (code)
    {
    case result_code::request_malformed:
    case result_code::request_ambiguous_length:
    case result_code::client_address_invalid:
    case result_code::deadline_invalid:
    case result_code::key_missing:
    case result_code::key_malformed:
        return http_status::bad_request;
    case result_code::quota_exceeded:
        return http_status::too_many_requests;
    case result_code::account_unknown:
        return http_status::unauthorized;
    case result_code::request_header_too_large:
    case result_code::request_framing_too_large:
        return http_status::head_too_large;
    case result_code::request_body_too_large:
        return http_status::content_too_large;
    case result_code::request_too_slow:
        return http_status::request_timeout;
    case result_code::service_unknown:
    case result_code::path_unknown:
        return http_status::not_found;
    case result_code::method_unknown:
        return http_status::method_not_allowed;
    case result_code::key_reused:
    case result_code::request_poisonous:
        return http_status::unprocessable;
    case result_code::key_in_flight:
    case result_code::key_claimed_elsewhere:
        return http_status::conflict;
    case result_code::deadline_passed:
    case result_code::deadline_too_short:
        return http_status::gateway_timeout;
    case result_code::answer_lost:
    case result_code::answer_mismatched:
    case result_code::answer_too_large:
    case result_code::outcome_unknown:
        return http_status::bad_gateway;
    default:
        return http_status::unavailable;
    }
}

} // namespace

std::string_view to_string(outcome what)
{
    switch (what)
    {
    case outcome::not_run:
        return "not-run";
    case outcome::done:
        return "done";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

http_response make_refusal(const base::error& reason, outcome what)
{
    const auto& row = base::describe(reason.code);
    std::string message{row.message};
    if (!reason.detail.empty())
    {
        message += ": " + reason.detail;
    }
    const boost::json::object body{
        {"code", base::number(reason.code)},
        {"name", row.name},
        {"message", message}};
    http_response out;
    out.status = static_cast<unsigned>(status_of(reason.code));
    out.fields = {
        {"Content-Type", "application/json"},
        {std::string{outcome_field}, std::string{to_string(what)}},
        {std::string{code_field},
         fmt::format("{:04}", base::number(reason.code))}};
    if (reason.code == result_code::account_unknown)
    {
        // RFC 9110, section 11.6.1.
        out.fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    out.body = boost::json::serialize(body);
    return out;
}

finished refuse(const base::error& reason, outcome what)
{
    return {what, make_refusal(reason, what)};
}

http_response make_json(std::string body)
{
    http_response out;
    out.fields = {{"Content-Type", "application/json"}};
    out.body = std::move(body);
    return out;
}

} // namespace waxwingvalve::net
