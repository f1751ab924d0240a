#include "daemon/serving/filing_answers.hpp"

#include <charconv>
#include <numeric>

namespace waxwingvalve::daemon::serving
{

namespace filings = decision::filings;
using base::result_code;

namespace
{

std::size_t bytes_of(const net::http_response& answer)
{
    const auto add = [](std::size_t sum, const net::header_field& field)
    { return sum + field.name.size() + field.value.size(); };
    return std::accumulate(
        answer.fields.begin(), answer.fields.end(), answer.body.size(), add);
}

// The code that a refusal of the system carries.
result_code code_of(const net::http_response& answer)
{
    const auto text = net::find_field(answer.fields, code_field).value_or("");
    std::uint16_t number{};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return static_cast<result_code>(number);
}

net::http_response refused_before(result_code reason)
{
    return make_refusal(
        {result_code::key_refused_before,
         std::string{base::describe(reason).name}},
        outcome::not_run);
}

net::http_response rebuild(const filings::claim_answer& kept)
{
    net::http_response out;
    out.status = kept.status;
    if (!kept.content_type.empty())
    {
        out.fields.push_back({"Content-Type", kept.content_type});
    }
    out.body = kept.body;
    return out;
}

} // namespace

net::http_response to_answer(
    const filings::key_admission<net::http_response>& known)
{
    switch (known.verdict)
    {
    case filings::key_verdict::recorded:
        return known.answer != nullptr
                   ? *known.answer
                   : make_refusal(
                         {result_code::answer_not_kept}, outcome::done);
    case filings::key_verdict::refused:
        return refused_before(known.reason);
    case filings::key_verdict::key_reused:
        // Of the first request under the key this says nothing.
        return make_refusal({result_code::key_reused}, outcome::unknown);
    case filings::key_verdict::epoch_closed:
        return make_refusal({result_code::key_epoch_closed}, outcome::unknown);
    case filings::key_verdict::epoch_full:
        return make_refusal({result_code::key_epoch_full}, outcome::not_run);
    case filings::key_verdict::run:
    case filings::key_verdict::wait:
        return make_refusal({result_code::key_in_flight}, outcome::unknown);
    case filings::key_verdict::unknown:
        break;
    }
    return make_refusal({result_code::outcome_unknown}, outcome::unknown);
}

net::http_response to_answer(
    const filings::claim_row& held, std::string_view digest)
{
    if (held.digest != digest)
    {
        return make_refusal({result_code::key_reused}, outcome::unknown);
    }
    switch (held.state)
    {
    case filings::claim_state::done:
        return held.answer ? rebuild(*held.answer)
                           : make_refusal(
                                 {result_code::answer_not_kept}, outcome::done);
    case filings::claim_state::refused:
        return refused_before(static_cast<result_code>(held.reason));
    case filings::claim_state::unknown:
        return make_refusal({result_code::outcome_unknown}, outcome::unknown);
    case filings::claim_state::claimed:
        break;
    }
    return make_refusal({result_code::key_claimed_elsewhere}, outcome::unknown);
}

filings::run_outcome<net::http_response> to_ending(const finished& how)
{
    switch (how.what)
    {
    case outcome::done:
        return filings::done<net::http_response>{
            how.answer, bytes_of(how.answer)};
    case outcome::not_run:
        return filings::not_run{code_of(how.answer)};
    case outcome::unknown:
        break;
    }
    return filings::unknown{};
}

void set_ending(filings::claim_row& row, const finished& how)
{
    if (how.what == outcome::unknown)
    {
        row.state = filings::claim_state::unknown;
        return;
    }
    if (how.what == outcome::not_run)
    {
        row.state = filings::claim_state::refused;
        row.reason = base::number(code_of(how.answer));
        return;
    }
    row.state = filings::claim_state::done;
    if (filings::fits_claim_row(how.answer.body))
    {
        const auto type = net::find_field(how.answer.fields, "Content-Type");
        row.answer = filings::claim_answer{
            how.answer.status, std::string{type.value_or("")}, how.answer.body};
    }
}

} // namespace waxwingvalve::daemon::serving
