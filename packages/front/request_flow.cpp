// Request handling: admission, attempts and retries. What follows from the end
// of an attempt, and answers to callers, are in request_answers.cpp.
#include "front/request_flow.hpp"

#include <algorithm>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "base/log.hpp"
#include "decision/retries/request_digest.hpp"
#include "front/request_fields.hpp"

namespace waxwingvalve::front
{

using base::log_channel;
using base::log_level;
using base::result_code;
using decision::quotas::spend_status;

namespace
{

// Used when the caller sends no deadline.
constexpr std::chrono::seconds default_deadline{10};
// With less time left than this, another attempt cannot finish in time.
constexpr std::chrono::milliseconds min_time_for_attempt{40};
// For the answer of a request that may be sent again.
constexpr std::uint64_t max_set_aside_bytes = 512ULL * 1024;
// Of the largest answer of late: set aside beyond it, since answers differ by
// an id or a date.
constexpr std::uint64_t answer_slack_parts = 8;

} // namespace

request_flow::request_flow(
    serving_context& context,
    net::http_request request,
    base::byte_hold body_bytes,
    std::shared_ptr<base::byte_budget> answer_memory)
    : context_{context}, request_{std::move(request)},
      body_{std::make_shared<const std::string>(std::move(request_.body))},
      body_bytes_{std::move(body_bytes)}, answer_memory_{std::move(
                                              answer_memory)},
      attempt_id_{header_value(request_.fields, context.fields.attempt_id)},
      quota_{context.quota},
      received_at_{base::monotonic_clock::now()}, timer_{context.loop}
{
    object_ = cookie_value(
        header_value(request_.fields, "Cookie"), context_.fields.object_cookie);
    const auto* route = context_.view.routes().find(
        host_of(request_), net::path_of(request_.target));
    configuration_version_ = context_.view.configuration().version;
    homes_version_ = configuration_version_;
    if (route != nullptr)
    {
        route_ = *route;
    }
    deadline_ = received_at_ +
                parse_milliseconds(
                    header_value(request_.fields, context_.fields.deadline))
                    .value_or(default_deadline);
    if (route_)
    {
        deadline_ = std::min(deadline_, received_at_ + route_->timeout);
    }
}

request_flow::~request_flow()
{
    release_worker();
}

bool request_flow::repeatable() const
{
    return !route_ || route_->idempotent;
}

void request_flow::start(responder respond)
{
    respond_ = std::move(respond);
    ++context_.counts.requests;
    if (!admit())
    {
        return;
    }
    service_ = context_.view.begin_request(*route_, received_at_);
    timer_.expires_at(deadline_);
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& cancelled)
        {
            if (const auto self = weak.lock(); self && !cancelled)
            {
                self->time_out();
            }
        });
    // The wait for a token ends with this object.
    quota_.acquire(
        account_,
        [this](const decision::quotas::spend_result& result)
        {
            const auto self = shared_from_this();
            handle_quota(result);
        });
}

void request_flow::handle_quota(const decision::quotas::spend_result& result)
{
    if (done_)
    {
        return;
    }
    if (result.status == spend_status::spent)
    {
        begin_attempt();
        return;
    }
    const bool exceeded = result.status == spend_status::exceeded;
    ++(exceeded ? context_.counts.quota_exceeded
                : context_.counts.quota_unconfirmed);
    quota_retry_after_ = result.retry_after;
    refuse(
        {exceeded ? result_code::quota_exceeded
                  : result_code::quota_unconfirmed,
         account_->name});
}

void request_flow::note_execution()
{
    execution_ = execution_state::unknown;
    quota_.spend();
}

void request_flow::reject(const base::error& reason, responder respond)
{
    respond_ = std::move(respond);
    ++context_.counts.requests;
    refuse(reason);
}

// Refuses requests that cannot be sent; returns true if the request may
// proceed to worker selection.
bool request_flow::admit()
{
    if (!context_.view.configured())
    {
        refuse({result_code::no_configuration});
        return false;
    }
    if (!route_)
    {
        refuse({result_code::path_unknown, request_.target});
        return false;
    }
    if (const auto refusal = authenticate())
    {
        ++context_.counts.requests_without_account;
        refuse({*refusal});
        return false;
    }
    digest_ = decision::retries::digest_of(
        host_of(request_), request_.method, request_.target, *body_);
    if (context_.view.crashes.is_poisonous(digest_))
    {
        // Reported as unknown, so that the caller is not told to retry.
        execution_ = execution_state::unknown;
        refuse({result_code::request_poisonous});
        return false;
    }
    if (time_left() < min_time_for_attempt)
    {
        refuse({result_code::deadline_too_short});
        return false;
    }
    return true;
}

// Returns why the request may not run, if it needs an account and has none.
std::optional<result_code> request_flow::authenticate()
{
    const auto& view = context_.view;
    if (view.accounts().empty())
    {
        return std::nullopt;
    }
    keeps_key_back_ = true;
    // It may have waited behind others on its connection.
    const auto* current =
        view.routes().find(host_of(request_), net::path_of(request_.target));
    const bool is_public = current != nullptr && current->is_public;
    if (!view.keys_confirmed(base::monotonic_clock::now()))
    {
        return is_public ? std::nullopt
                         : std::optional{result_code::keys_unconfirmed};
    }
    if (const auto key = bearer_key(request_.fields))
    {
        account_ = view.accounts().find(*key);
    }
    const bool allowed = account_ || is_public;
    return allowed ? std::nullopt : std::optional{result_code::account_unknown};
}

base::duration request_flow::time_left() const
{
    return deadline_ - base::monotonic_clock::now();
}

bool request_flow::fits_before_stop() const
{
    return context_.stop.allows(
        {.route = route_->name,
         .idempotent = route_->idempotent,
         .deadline = deadline_},
        base::monotonic_clock::now());
}

// Requests wait and are sent again, for longer than a new configuration takes
// to be in force. Where they may run is decided by the newest one.
void request_flow::adopt_current_homes()
{
    const auto& view = context_.view;
    if (homes_version_ == view.configuration().version)
    {
        return;
    }
    homes_version_ = view.configuration().version;
    keeps_key_back_ = keeps_key_back_ || !view.accounts().empty();
    const auto* current =
        view.routes().find(host_of(request_), net::path_of(request_.target));
    if (current != nullptr)
    {
        route_->home_regions = current->home_regions;
    }
    // If the key was taken away meanwhile, the account keeps its homes.
    const auto key = bearer_key(request_.fields);
    const auto account = key ? view.accounts().find(*key) : nullptr;
    if (account && account_ && account->name == account_->name)
    {
        account_ = account;
    }
}

placement_request request_flow::placement() const
{
    const std::string_view object =
        route_->sticky && !object_.empty() ? object_ : attempt_id_;
    return {&*route_, service_, object, tried_workers_, account_.get()};
}

void request_flow::begin_attempt()
{
    if (!fits_before_stop())
    {
        end_without_attempt({result_code::leaving});
        return;
    }
    if (!set_aside_answer())
    {
        ++context_.counts.requests_without_answer_memory;
        end_without_attempt(
            {result_code::overloaded, "no memory for its answer"});
        return;
    }
    adopt_current_homes();
    const auto now = base::monotonic_clock::now();
    auto chosen = context_.view.place(placement(), now);
    if (!chosen)
    {
        end_without_attempt(chosen.error());
        return;
    }
    send_to(chosen.value());
}

// An answer that is larger than what is set aside takes more, or is lost after
// it has run. So a little more than the largest of its route is set aside; for
// a request that may be sent again, no more than a part of the callers' memory.
bool request_flow::set_aside_answer()
{
    const auto largest = context_.answer_sizes.largest(
        route_->name, base::monotonic_clock::now());
    const auto expected = largest + largest / answer_slack_parts;
    const auto most = route_->idempotent ? max_set_aside_bytes
                                         : context_.memory.most_for_answer;
    const auto needed = std::clamp(
        expected,
        context_.memory.usual_answer,
        std::max(most, context_.memory.usual_answer));
    set_aside_ = base::byte_hold{answer_memory_, base::byte_claim::kept};
    return set_aside_.try_grow(needed);
}

// Answers with the failure that a worker gave before, or refuses.
void request_flow::end_without_attempt(const base::error& reason)
{
    if (last_answer_)
    {
        finish(std::move(*last_answer_), "passed_on");
        return;
    }
    refuse(reason);
}

// The fields that the daemon sets itself or keeps back.
bool request_flow::passed_on(std::string_view name) const
{
    const auto& fields = context_.fields;
    const bool own = boost::beast::iequals(name, fields.deadline) ||
                     boost::beast::iequals(name, fields.target_worker) ||
                     boost::beast::iequals(name, fields.account) ||
                     boost::beast::iequals(name, "Expect");
    // Without accounts the key is the worker's.
    const bool key =
        keeps_key_back_ && boost::beast::iequals(name, authorization_field);
    return !own && !key;
}

std::string request_flow::serialize_head(const steering::worker& worker) const
{
    const auto& fields = context_.fields;
    std::string bytes;
    bytes.reserve(512);
    bytes += request_.method;
    bytes += ' ';
    bytes += request_.target;
    bytes += " HTTP/1.1\r\n";
    for (const auto& [name, value] : request_.fields)
    {
        if (!passed_on(name))
        {
            continue;
        }
        bytes += name;
        bytes += ": ";
        bytes += value;
        bytes += "\r\n";
    }
    const auto time =
        std::max<std::int64_t>(base::to_milliseconds(time_left()), 1);
    bytes += fmt::format("{}: {}\r\n", fields.deadline, time);
    bytes += fmt::format("{}: {}\r\n", fields.target_worker, worker.entry().id);
    if (account_)
    {
        bytes += fmt::format("{}: {}\r\n", fields.account, account_->name);
    }
    if (!body_->empty() || request_.method == "POST" ||
        request_.method == "PUT")
    {
        bytes += fmt::format("Content-Length: {}\r\n", body_->size());
    }
    bytes += "\r\n";
    return bytes;
}

void request_flow::send_to(const fleet_view::worker_ptr& worker)
{
    worker_ = worker;
    const auto& entry = worker->entry();
    worker_incarnation_ = steering::incarnation_digest(entry);
    tried_workers_.push_back(entry.id);
    worker_region_ = context_.view.region_of(entry.zone);
    attempt_started_at_ = base::monotonic_clock::now();
    const auto connection = context_.pool.acquire(
        entry.id, entry.address, !route_->idempotent, attempt_started_at_);
    connection_ = connection;
    connection->exchange(
        {.head = serialize_head(*worker),
         .body = body_,
         .id_field = context_.fields.attempt_id,
         .id = attempt_id_,
         .head_request = request_.method == "HEAD",
         .answer_memory = std::move(set_aside_),
         .beyond = route_->idempotent ? base::byte_claim::ordinary
                                      : base::byte_claim::kept,
         .deadline = deadline_,
         .may_send =
             [this, worker]
         {
             // The head is written already, with the key.
             const bool had_kept_key_back = keeps_key_back_;
             adopt_current_homes();
             return had_kept_key_back == keeps_key_back_ &&
                    fits_before_stop() &&
                    context_.view.may_send(
                        *worker,
                        placement(),
                        attempt_started_at_,
                        base::monotonic_clock::now());
         }},
        [self = shared_from_this(), worker](exchange_outcome outcome)
        { self->attempt_ended(worker, std::move(outcome)); });
}

void request_flow::release_worker()
{
    if (worker_)
    {
        worker_->request_ended();
        worker_.reset();
    }
}

void request_flow::attempt_ended(
    const fleet_view::worker_ptr& worker, exchange_outcome outcome)
{
    release_worker();
    connection_.reset();
    if (outcome.status == exchange_status::withdrawn)
    {
        base::log_event(
            log_level::info,
            log_channel::serving,
            "attempt_withdrawn",
            "request",
            attempt_id_,
            "worker",
            worker->entry().id,
            "homes_of",
            homes_version_);
        retry_or_refuse({result_code::no_upstream, worker->entry().id}, false);
        return;
    }
    if (outcome.status != exchange_status::not_connected)
    {
        count_send();
    }
    if (outcome.status == exchange_status::answered)
    {
        handle_answer(worker, std::move(outcome));
        return;
    }
    handle_failure(worker, outcome);
}

void request_flow::count_send()
{
    ++sends_;
    ++context_.counts.sends;
}

// Gives up the attempt in flight.
void request_flow::abandon_attempt(upstream_connection& connection)
{
    if (connection.request_sent())
    {
        note_execution();
        count_send();
    }
    connection.abandon();
    connection_.reset();
}

void request_flow::retry_or_refuse(const base::error& reason, bool costs_budget)
{
    const auto now = base::monotonic_clock::now();
    const bool possible = !caller_gone_ && sends_ < route_->max_attempts &&
                          time_left() > min_time_for_attempt;
    if (!possible)
    {
        end_without_attempt(reason);
        return;
    }
    if (!quota_.acquire_again())
    {
        refuse_without_token(reason);
        return;
    }
    if (costs_budget && !context_.view.spend_retry(service_, now))
    {
        end_without_attempt(reason);
        return;
    }
    if (sends_ > 0)
    {
        ++context_.counts.retries;
    }
    begin_attempt();
}

// The quota is the reason only if the request has not run: code 4010 says so.
void request_flow::refuse_without_token(const base::error& reason)
{
    if (execution_ == execution_state::unknown)
    {
        end_without_attempt(reason);
        return;
    }
    ++context_.counts.quota_exceeded;
    quota_retry_after_ = quota_.retry_after();
    refuse({result_code::quota_exceeded, account_->name});
}

void request_flow::time_out()
{
    if (done_)
    {
        return;
    }
    if (const auto connection = connection_.lock())
    {
        if (worker_)
        {
            context_.view.record_timeout(
                *worker_, worker_incarnation_, base::monotonic_clock::now());
            context_.view.record_latency(
                service_, route_->timeout, route_->target_latency);
            const auto now = base::monotonic_clock::now();
            context_.stop.record_answer(
                route_->name, now - attempt_started_at_, now);
        }
        abandon_attempt(*connection);
    }
    release_worker();
    refuse(
        {execution_ == execution_state::unknown ? result_code::deadline_passed
                                                : result_code::queue_timeout});
}

void request_flow::abandon()
{
    caller_gone_ = true;
    respond_ = nullptr;
    if (done_)
    {
        return;
    }
    ++context_.counts.callers_gone;
    const auto connection = connection_.lock();
    if (connection && !route_->idempotent)
    {
        return;
    }
    done_ = true;
    timer_.cancel();
    if (connection)
    {
        abandon_attempt(*connection);
    }
    release_worker();
    quota_.release();
    log_end("caller_gone", 0);
}

void request_flow::end_unfinished()
{
    if (done_)
    {
        return;
    }
    if (const auto connection = connection_.lock())
    {
        abandon_attempt(*connection);
    }
    release_worker();
    refuse({result_code::leaving});
}

} // namespace waxwingvalve::front
