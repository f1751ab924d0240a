// What a request does with the end of an attempt (a worker's answer, a refusal,
// or an answer that never came whole), and what its caller is answered.
#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "front/crash_probe.hpp"
#include "front/http_status.hpp"
#include "front/request_fields.hpp"
#include "front/request_flow.hpp"
#include "front/retry_after.hpp"
#include "front/worker_state.hpp"

namespace waxwingvalve::front
{

using base::log_channel;
using base::log_level;
using base::result_code;

namespace
{

// Failed connections tolerated per request. They are not charged to the retry
// budget, because they cost workers nothing.
constexpr std::uint32_t max_connect_failures = 3;

// Whether the worker sent more than one answer may have, whatever memory there
// is.
bool passes_bounds(net::message_fault fault)
{
    switch (fault)
    {
    case net::message_fault::head_too_large:
    case net::message_fault::body_too_large:
    case net::message_fault::framing_too_large:
        return true;
    default:
        return false;
    }
}

} // namespace

void request_flow::record_state(
    steering::worker& worker, const net::http_response& answer)
{
    record_worker_state(
        context_,
        worker,
        {.incarnation = worker_incarnation_,
         .fields = answer.fields,
         .sent_at = attempt_started_at_},
        base::monotonic_clock::now());
    if (worker.incarnation() == worker_incarnation_)
    {
        record_backoff(worker, answer);
    }
}

void request_flow::record_rate_limit(
    const steering::worker& worker, const exchange_outcome& outcome)
{
    const auto& answer = outcome.answer;
    const auto said =
        parse_rate_limit(answer.fields, context_.fields.worker_limit);
    // One that may belong to an earlier request doesn't show that a limit is
    // lifted.
    const bool may_be_early = outcome.ambiguous && !said.present;
    const bool of_another_worker = answer.status == status_misdirected;
    if (of_another_worker || may_be_early)
    {
        return;
    }
    context_.view.record_rate_limit(
        worker,
        worker_incarnation_,
        said,
        attempt_started_at_,
        base::monotonic_clock::now());
}

void request_flow::record_backoff(
    steering::worker& worker, const net::http_response& answer)
{
    const auto now = base::monotonic_clock::now();
    const auto time = answer.status == status_unavailable
                          ? parse_retry_after(answer.fields)
                          : std::nullopt;
    if (!time || *time == base::duration{})
    {
        worker.backoff().end_resume(now);
        return;
    }
    worker.backoff().begin(*time, now);
    base::log_event(
        log_level::info,
        log_channel::routing,
        "worker_backoff",
        "request",
        attempt_id_,
        "worker",
        worker.entry().id,
        "left_ms",
        base::to_milliseconds(worker.backoff().left(now)));
}

void request_flow::handle_answer(
    const fleet_view::worker_ptr& worker, exchange_outcome outcome)
{
    const auto now = base::monotonic_clock::now();
    auto& answer = outcome.answer;
    answer_bytes_ = std::move(outcome.answer_bytes);
    record_state(*worker, answer);
    record_rate_limit(*worker, outcome);
    if (answer.status != status_misdirected)
    {
        context_.view.record_contact(
            *worker,
            worker_incarnation_,
            {.connected_at = outcome.connected_at,
             .sent_at = attempt_started_at_},
            now);
    }
    const bool refused =
        answer.status == status_misdirected ||
        net::find_field(answer.fields, context_.fields.not_executed);
    if (refused && outcome.ambiguous && !route_->idempotent)
    {
        // No proof that this request did not run.
        note_execution();
        context_.view.record_outcome(*worker, worker_incarnation_, true, now);
        refuse({result_code::answer_mismatched, worker->entry().id});
        return;
    }
    if (refused && outcome.ambiguous)
    {
        // It may be the answer to an earlier request, and this one may run.
        quota_.spend();
    }
    if (answer.status == status_misdirected)
    {
        // The address now belongs to another worker: the entry is outdated.
        context_.view.record_unreachable(*worker, worker_incarnation_, now);
        retry_or_refuse({result_code::no_upstream, worker->entry().id}, true);
        return;
    }
    if (refused)
    {
        // It has not run there, and its token stays.
        const bool full = worker->load(now) >= worker->slots();
        context_.view.record_outcome(*worker, worker_incarnation_, !full, now);
        retry_or_refuse({result_code::shed_by_upstream}, true);
        return;
    }
    quota_.spend();
    const bool signed_by_worker =
        net::find_field(answer.fields, context_.fields.signature).has_value();
    if (signed_by_worker)
    {
        clear_crash_suspicion(context_, digest_);
    }
    if (is_success(answer.status) && signed_by_worker)
    {
        context_.answer_sizes.record(route_->name, outcome.needed_memory, now);
        context_.view.record_outcome(*worker, worker_incarnation_, false, now);
        context_.view.record_latency(
            service_, now - attempt_started_at_, route_->target_latency);
        context_.stop.record_answer(
            route_->name, now - attempt_started_at_, now);
        finish(std::move(answer), "passed_on");
        return;
    }
    execution_ = execution_state::unknown;
    context_.view.record_outcome(*worker, worker_incarnation_, true, now);
    // Without the worker's word that it hasn't run the request, a status that
    // promises it is not passed on.
    const bool unproven = promises_not_run(answer.status);
    const base::error reason =
        unproven ? base::error{result_code::outcome_unknown, worker->entry().id}
                 : base::error{result_code::answer_lost};
    if (!is_success(answer.status) && !unproven)
    {
        last_answer_ = std::move(answer);
        last_answer_bytes_ = std::move(answer_bytes_);
    }
    const bool server_failed =
        !last_answer_ || last_answer_->status >= status_server_error;
    if (server_failed && route_->idempotent)
    {
        retry_or_refuse(reason, true);
        return;
    }
    if (last_answer_)
    {
        finish(std::move(*last_answer_), "passed_on");
        return;
    }
    refuse(reason);
}

void request_flow::handle_failure(
    const fleet_view::worker_ptr& worker, const exchange_outcome& outcome)
{
    const auto now = base::monotonic_clock::now();
    base::log_event(
        log_level::info,
        log_channel::serving,
        "attempt_failed",
        "request",
        attempt_id_,
        "worker",
        worker->entry().id,
        "connected",
        outcome.status != exchange_status::not_connected,
        "reused",
        outcome.reused,
        "reason",
        outcome.detail,
        "bytes",
        outcome.bytes_read,
        "after_ms",
        base::to_milliseconds(now - attempt_started_at_));
    if (outcome.status == exchange_status::not_connected)
    {
        record_not_connected(*worker, outcome, now);
        ++connect_failures_;
        if (connect_failures_ > max_connect_failures)
        {
            refuse({result_code::connect_failed});
            return;
        }
        retry_or_refuse({result_code::connect_failed}, false);
        return;
    }
    note_execution();
    if (outcome.status == exchange_status::invalid_answer)
    {
        ++context_.counts.answers_unreadable;
    }
    context_.view.record_outcome(*worker, worker_incarnation_, true, now);
    const bool oversized = passes_bounds(outcome.fault);
    if (oversized)
    {
        record_oversized(*worker, outcome);
    }
    if (outcome.lost == contact_loss::silent)
    {
        context_.view.record_lost_contact(
            *worker,
            worker_incarnation_,
            {outcome.lost, std::max(attempt_started_at_, outcome.connected_at)},
            now);
    }
    if (outcome.status == exchange_status::closed_early)
    {
        probe_for_crash(
            context_,
            {.request = attempt_id_,
             .digest = digest_,
             .worker = worker,
             .incarnation = worker_incarnation_,
             .sent_at = attempt_started_at_,
             .ended_at = now,
             .lost_kept_connection =
                 outcome.reused && outcome.bytes_read == 0});
    }
    const auto reason =
        oversized ? result_code::answer_too_large : result_code::answer_lost;
    if (!route_->idempotent)
    {
        refuse({reason});
        return;
    }
    retry_or_refuse({reason}, true);
}

void request_flow::record_lost_contact(
    steering::worker& worker, contact_loss how, base::instant now)
{
    context_.view.record_lost_contact(
        worker, worker_incarnation_, {how, attempt_started_at_}, now);
}

void request_flow::record_not_connected(
    steering::worker& worker,
    const exchange_outcome& outcome,
    base::instant now)
{
    if (outcome.lost != contact_loss::none)
    {
        record_lost_contact(worker, outcome.lost, now);
        return;
    }
    context_.view.record_unreachable(worker, worker_incarnation_, now);
}

void request_flow::record_oversized(
    steering::worker& worker, const exchange_outcome& outcome)
{
    using steering::oversized_answers;
    const auto now = base::monotonic_clock::now();
    ++context_.counts.answers_oversized;
    if (worker.incarnation() != worker_incarnation_)
    {
        return;
    }
    const bool again = worker.oversized().record(now);
    if (again && context_.view.may_leave_out(worker, now))
    {
        worker.backoff().begin(oversized_answers::exclusion, now);
    }
    base::log_event(
        log_level::warning,
        log_channel::routing,
        "worker_oversized",
        "request",
        attempt_id_,
        "worker",
        worker.entry().id,
        "reason",
        outcome.detail,
        "bytes",
        outcome.bytes_read,
        "left_ms",
        base::to_milliseconds(worker.backoff().left(now)));
}

void request_flow::refuse(const base::error& reason)
{
    refusal_reason_ = reason;
    const bool not_run = execution_ == execution_state::not_run;
    auto answer = net::make_refusal(
        reason, not_run ? net::outcome::not_run : net::outcome::unknown);
    // Status 503 tells the caller that the request did not run, so it must not
    // be sent when the outcome is unknown.
    const bool implies_not_run = answer.status == status_unavailable;
    if (reason.code == result_code::request_poisonous ||
        (!not_run && implies_not_run))
    {
        answer.status = status_bad_gateway;
    }
    if (reason.code == result_code::quota_exceeded)
    {
        set_exact_retry_after(answer, quota_retry_after_);
    }
    else if (not_run && answer.status >= status_server_error)
    {
        set_retry_after(
            answer,
            attempt_id_,
            context_.view.return_after(service_, base::monotonic_clock::now()));
    }
    finish(std::move(answer), not_run ? "not_run" : "unknown");
}

void request_flow::finish(net::http_response answer, std::string_view end)
{
    if (done_)
    {
        return;
    }
    done_ = true;
    timer_.cancel();
    quota_.release();
    ++context_.counts.ends[std::string{end}];
    context_.counts.answer_latency.add(
        base::monotonic_clock::now() - received_at_);
    log_end(end, answer.status);
    // The caller's connection counts the answer from here on.
    answer_bytes_.release();
    last_answer_bytes_.release();
    if (!caller_gone_ && respond_)
    {
        respond_(std::move(answer));
    }
    respond_ = nullptr;
}

void request_flow::log_end(std::string_view end, unsigned status) const
{
    const auto now = base::monotonic_clock::now();
    base::log_event(
        log_level::info,
        log_channel::serving,
        "request_ended",
        "request",
        attempt_id_,
        "route",
        route_ ? route_->name : std::string{},
        "service",
        service_,
        "object",
        object_,
        "account",
        account_ ? account_->name : std::string{},
        "worker",
        tried_workers_.empty() ? std::string{} : tried_workers_.back(),
        "worker_region",
        worker_region_,
        "sends",
        sends_,
        "end",
        end,
        "status",
        status,
        "reason",
        refusal_reason_ ? to_string(*refusal_reason_) : std::string{},
        "took_ms",
        base::to_milliseconds(now - received_at_),
        "attempt_ms",
        tried_workers_.empty()
            ? 0
            : base::to_milliseconds(now - attempt_started_at_),
        "configuration",
        configuration_version_,
        "homes_of",
        homes_version_);
}

} // namespace waxwingvalve::front
