#include "daemon/serving/filings.hpp"

#include <algorithm>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "base/log.hpp"
#include "daemon/serving/filing_answers.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
namespace filings = decision::filings;
using base::log_channel;
using base::log_event;
using base::log_level;
using base::result_code;
using filings::key_verdict;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds claim_timeout{1000};
// The run itself ends at the deadline; its answer is better than "runs still".
constexpr milliseconds join_grace{50};
constexpr int record_tries = 3;
constexpr milliseconds record_pause{500};
constexpr std::size_t flights_limit = 4096;

filings::request_digest digest_of(
    std::string_view service, const net::http_request& in)
{
    return filings::digest_of({service, in.method, in.target, in.body});
}

void log_decision(
    std::string_view key, std::string_view chosen, std::string_view why)
{
    log_event(
        log_level::info,
        log_channel::filings,
        "decision",
        "kind",
        "filing",
        "key",
        key,
        "chosen",
        chosen,
        "why",
        why);
}

// The start of the daemon that its key prefix names; 0 when not yet known. A
// member's own incarnation also rises when it refutes a suspicion, and says
// nothing of which keys it remembers.
std::uint64_t incarnation_of(const decision::membership::member_report& report)
{
    const auto key = filings::parse_idempotency_key(report.key_prefix + "any");
    const bool known = key && key.value().prefix;
    return known ? key.value().prefix->incarnation : 0;
}

std::string_view to_string(key_verdict what)
{
    switch (what)
    {
    case key_verdict::run:
        return "first-copy";
    case key_verdict::wait:
        return "in-flight";
    case key_verdict::recorded:
        return "done-before";
    case key_verdict::unknown:
        return "unknown-before";
    case key_verdict::refused:
        return "refused-before";
    case key_verdict::key_reused:
        return "key-reused";
    case key_verdict::epoch_closed:
        return "epoch-closed";
    case key_verdict::epoch_full:
        break;
    }
    return "epoch-full";
}

} // namespace

filing_gate::filing_gate(
    asio::any_io_executor executor,
    const schema::daemon_settings& settings,
    placement& places,
    attempts& tries,
    std::uint64_t incarnation)
    : executor_{std::move(executor)}, settings_{settings}, places_{places},
      attempts_{tries}, incarnation_{incarnation},
      ledger_{settings.name, incarnation, base::monotonic_clock::now()},
      claims_{store::http_table_service{settings.platform.table, claim_timeout}}
{
}

std::string filing_gate::key_prefix()
{
    return ledger_.prefix(base::monotonic_clock::now());
}

std::string filing_gate::next_claim_id()
{
    return fmt::format("{}:{}:{}", settings_.name, incarnation_, ++last_claim_);
}

asio::awaitable<net::http_response> filing_gate::serve(job work)
{
    const std::string text{
        net::find_field(work.request.fields, key_field).value_or("")};
    auto key = filings::parse_idempotency_key(text);
    if (!key)
    {
        // No daemon ever lets a malformed key run.
        co_return make_refusal(key.error(), outcome::not_run);
    }
    const auto digest = digest_of(work.service, work.request);
    keyed_job filing{std::move(work), text, std::move(key).value(), digest};
    if (!filing.key.prefix)
    {
        co_return co_await serve_claimed(std::move(filing));
    }
    if (ledger_.owns(*filing.key.prefix))
    {
        co_return co_await serve_own(std::move(filing));
    }
    co_return co_await serve_elsewhere(std::move(filing));
}

asio::awaitable<net::http_response> filing_gate::serve_own(keyed_job filing)
{
    const auto deadline = filing.work.deadline;
    const auto known =
        ledger_.admit(filing.key, filing.digest, base::monotonic_clock::now());
    log_decision(filing.text, settings_.name, to_string(known.verdict));
    auto flight = find_flight(filing.text);
    if (known.verdict == key_verdict::run)
    {
        flight = begin_flight(filing);
        asio::co_spawn(
            executor_, run_own(std::move(filing), flight), asio::detached);
    }
    const bool runs =
        known.verdict == key_verdict::run || known.verdict == key_verdict::wait;
    if (runs && flight != nullptr)
    {
        co_return co_await join(std::move(flight), deadline);
    }
    co_return to_answer(known);
}

asio::awaitable<net::http_response> filing_gate::serve_claimed(keyed_job filing)
{
    const auto deadline = filing.work.deadline;
    auto flight = find_flight(filing.text);
    if (flight != nullptr && flight->digest() != filing.digest)
    {
        co_return make_refusal({result_code::key_reused}, outcome::unknown);
    }
    if (flight == nullptr)
    {
        if (flights_.size() >= flights_limit)
        {
            co_return make_refusal({result_code::overloaded}, outcome::unknown);
        }
        flight = begin_flight(filing);
        asio::co_spawn(
            executor_, run_claimed(std::move(filing), flight), asio::detached);
    }
    co_return co_await join(std::move(flight), deadline);
}

asio::awaitable<net::http_response> filing_gate::serve_elsewhere(
    keyed_job filing)
{
    const auto& prefix = *filing.key.prefix;
    const auto& members = places_.members().members;
    const auto found = std::ranges::find_if(
        members,
        [&](const auto& one) { return one.report.name == prefix.daemon; });
    auto& fields = filing.work.request.fields;
    // The entry that a filing was passed to for its key knows best: if it is
    // not the one, the one that knew the key is gone.
    const bool gone =
        net::find_field(fields, key_passed_field) || found == members.end() ||
        found->state == decision::membership::member_state::dead ||
        incarnation_of(found->report) > prefix.incarnation;
    if (gone)
    {
        log_decision(filing.text, "nobody", "key-owner-gone");
        co_return make_refusal({result_code::key_owner_gone}, outcome::unknown);
    }
    log_decision(filing.text, prefix.daemon, "key-owner");
    // The snapshot can be replaced while this waits.
    const auto where = found->report.caller_address;
    const auto attempt = next_claim_id();
    const auto left = filing.work.deadline - base::monotonic_clock::now();
    net::set_field(fields, attempt_field, attempt);
    net::set_field(fields, key_passed_field, settings_.name);
    net::set_field(
        fields, deadline_field, fmt::format("{}", base::to_milliseconds(left)));
    auto answer = co_await net::fetch(
        where, std::move(filing.work.request), filing.work.deadline);
    if (!answer)
    {
        // Even if nothing was sent: an earlier copy may have run there.
        co_return make_refusal(
            {result_code::key_owner_unreachable,
             base::to_string(answer.error().reason)},
            outcome::unknown);
    }
    if (net::find_field(answer.value().fields, attempt_field) != attempt)
    {
        co_return make_refusal(
            {result_code::answer_mismatched}, outcome::unknown);
    }
    co_return std::move(answer).value();
}

net::http_response filing_gate::refuse_early(
    const net::http_request& in, const base::error& reason)
{
    const auto text = net::find_field(in.fields, key_field);
    if (!text)
    {
        return make_refusal(reason, outcome::not_run);
    }
    const auto key = filings::parse_idempotency_key(*text);
    const bool own =
        key && key.value().prefix && ledger_.owns(*key.value().prefix);
    if (!own)
    {
        return make_refusal(reason, outcome::unknown);
    }
    const auto service = net::find_field(in.fields, service_field);
    const auto known = ledger_.admit(
        key.value(),
        digest_of(service.value_or(""), in),
        base::monotonic_clock::now());
    if (known.verdict != key_verdict::run)
    {
        return to_answer(known);
    }
    ledger_.finish(key.value(), filings::not_run{reason.code});
    return make_refusal(reason, outcome::not_run);
}

filing_gate::flight_pointer filing_gate::find_flight(
    const std::string& text) const
{
    const auto found = flights_.find(text);
    return found != flights_.end() ? found->second : nullptr;
}

filing_gate::flight_pointer filing_gate::begin_flight(const keyed_job& filing)
{
    auto flight = std::make_shared<filing_flight>(filing.digest);
    flights_[filing.text] = flight;
    return flight;
}

asio::awaitable<void> filing_gate::run_own(
    keyed_job filing, flight_pointer flight)
{
    auto how = co_await run_once(filing.work);
    ledger_.finish(filing.key, to_ending(how));
    flights_.erase(filing.text);
    flight->complete(how.answer, how.answer);
}

asio::awaitable<void> filing_gate::run_claimed(
    keyed_job filing, flight_pointer flight)
{
    const auto digest = filings::to_string(filing.digest);
    filings::claim_row own{.attempt = next_claim_id(), .digest = digest};
    auto claim = co_await claims_.take(filing.text, std::move(own));
    if (claim.what == claim_verdict::failed)
    {
        log_decision(filing.text, "nobody", "claim-failed");
        flights_.erase(filing.text);
        // Not "not-run": an earlier copy may have run through another entry.
        const auto refusal = make_refusal(
            {result_code::key_claim_failed, base::to_string(claim.reason)},
            outcome::unknown);
        flight->complete(refusal, refusal);
        co_return;
    }
    if (claim.what == claim_verdict::held)
    {
        log_decision(filing.text, "nobody", "claim-held");
        flights_.erase(filing.text);
        const auto answer = to_answer(claim.row, digest);
        flight->complete(answer, answer);
        co_return;
    }
    log_decision(filing.text, settings_.name, "claimed");
    auto how = co_await run_once(filing.work);
    set_ending(claim.row, how);
    auto repeat_answer =
        how.what == outcome::done ? how.answer : to_answer(claim.row, digest);
    flight->complete(std::move(how.answer), std::move(repeat_answer));
    // Until the row tells the ending, a repeat finds it with the flight.
    co_await record_claim(filing.text, std::move(claim.row));
    flights_.erase(filing.text);
}

asio::awaitable<finished> filing_gate::run_once(job& work)
{
    // The claim or a pause of this process may have taken all the time.
    if (base::monotonic_clock::now() >= work.deadline)
    {
        co_return refuse({result_code::deadline_passed}, outcome::not_run);
    }
    try
    {
        co_return co_await attempts_.run(work);
    }
    catch (const std::exception& failure)
    {
        log_event(
            log_level::error,
            log_channel::filings,
            "run_failed",
            "reason",
            failure.what());
    }
    co_return refuse({result_code::internal}, outcome::unknown);
}

asio::awaitable<void> filing_gate::record_claim(
    std::string text, filings::claim_row row)
{
    asio::steady_timer pause{executor_};
    for (int tried = 0; tried < record_tries; ++tried)
    {
        if (co_await claims_.record(text, row))
        {
            co_return;
        }
        pause.expires_after(record_pause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    log_event(
        log_level::warning,
        log_channel::filings,
        "outcome_unrecorded",
        "key",
        text);
}

asio::awaitable<net::http_response> filing_gate::join(
    flight_pointer flight, base::instant deadline)
{
    auto answer = co_await flight->wait(deadline + join_grace);
    if (!answer)
    {
        co_return make_refusal({result_code::key_in_flight}, outcome::unknown);
    }
    co_return std::move(*answer);
}

} // namespace waxwingvalve::daemon::serving
