#include "daemon/serving/attempts.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "base/log.hpp"
#include "daemon/serving/attempt_rules.hpp"
#include "decision/retries/time_left.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;
using base::monotonic_clock;
using base::result_code;
using decision::retries::poison_verdict;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds wait_step{2};
// After so many tries elsewhere a request waits for a slot here.
constexpr std::size_t most_peers_tried = 2;
// Between two tries of a request that finds no room and has no queue here.
constexpr milliseconds pause_time{30};
constexpr std::uint32_t fastest_percentile = 5;

asio::awaitable<void> pause(base::duration time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

void set_deadline(net::http_request& request, base::instant deadline)
{
    const auto left = deadline - monotonic_clock::now();
    net::set_field(
        request.fields,
        deadline_field,
        fmt::format("{}", decision::retries::forwarded_deadline_ms(left)));
}

// Ends a trial without a verdict when nothing else ended it.
class open_trial
{
public:
    open_trial(
        decision::retries::poison_table& table,
        decision::retries::request_digest digest)
        : table_{table}, digest_{digest}
    {
    }
    ~open_trial() { table_.cancel_trial(digest_); }
    open_trial(const open_trial&) = delete;
    open_trial& operator=(const open_trial&) = delete;

private:
    decision::retries::poison_table& table_;
    decision::retries::request_digest digest_;
};

} // namespace

attempts::attempts(
    const schema::daemon_settings& settings, placement& places, figures& counts)
    : settings_{settings}, places_{places}, counts_{counts}
{
}

std::string attempts::next_attempt_id()
{
    return fmt::format("{}-{}", settings_.name, ++last_attempt_);
}

attempts::service_state& attempts::state_of(const schema::service& service)
{
    const auto [found, added] = services_.try_emplace(
        service.name,
        service_state{decision::retries::retry_budget{service.retry_percent}});
    found->second.budget.set_percent(service.retry_percent);
    return found->second;
}

std::vector<decision::retries::request_digest> attempts::poison_digests() const
{
    return poison_.digests_to_publish(monotonic_clock::now());
}

std::uint32_t attempts::told_by_members(
    decision::retries::request_digest digest) const
{
    std::uint32_t out{};
    for (const auto& member : places_.members().members)
    {
        out += static_cast<std::uint32_t>(
            std::ranges::count(member.report.poison_digests, digest));
    }
    return out;
}

place_request attempts::request_of(
    const order& in, std::vector<base::endpoint> avoid)
{
    const bool may_pass = avoid.size() < most_peers_tried;
    return {
        .service = in.service,
        .priority = in.priority,
        .passed = !in.may_pass,
        .may_pass = may_pass,
        .deadline = in.deadline,
        .avoid = std::move(avoid)};
}

asio::awaitable<finished> attempts::run(job& work)
{
    const auto* service = places_.in_force().find_service(work.service);
    if (service == nullptr)
    {
        co_return refuse(
            {result_code::service_unknown, work.service}, outcome::not_run);
    }
    auto& state = state_of(*service);
    const order in{
        .state = &state,
        .service = work.service,
        .deadline = work.deadline,
        .idempotent = work.operation.idempotent,
        .may_pass = !work.passed,
        .priority = work.operation.priority,
        .digest = decision::retries::digest_of(
            work.service,
            work.request.method,
            work.request.target,
            work.request.body),
        .hedge_percentile = service->hedge_percentile};
    const auto now = monotonic_clock::now();
    const auto lowest_percentile =
        state.latency.lowest_percentile(fastest_percentile, now);
    if (!decision::retries::can_meet_deadline(
            in.deadline - now, lowest_percentile))
    {
        counts_.refused.fetch_add(1, std::memory_order_relaxed);
        co_return refuse({result_code::deadline_too_short}, outcome::not_run);
    }
    const auto verdict = co_await admit(in);
    if (verdict == poison_verdict::run_alone)
    {
        co_return co_await run_suspect(in, work);
    }
    if (verdict != poison_verdict::clear)
    {
        counts_.refused.fetch_add(1, std::memory_order_relaxed);
        const auto code = verdict == poison_verdict::refuse
                              ? result_code::request_poisonous
                              : result_code::queue_timeout;
        co_return refuse({code}, outcome::not_run);
    }
    state.budget.count_first_attempt(now);
    if (in.idempotent && in.may_pass)
    {
        co_return co_await run_race(in, work);
    }
    co_return co_await run_once(in, work);
}

asio::awaitable<poison_verdict> attempts::admit(const order& in)
{
    while (true)
    {
        const auto now = monotonic_clock::now();
        const auto verdict =
            poison_.admit(in.digest, told_by_members(in.digest), now);
        if (verdict != poison_verdict::wait || now >= in.deadline)
        {
            co_return verdict;
        }
        co_await pause(wait_step);
    }
}

// Never sends a request again of which a byte may have left: only an attempt
// that provably did not run is followed by another one.
asio::awaitable<finished> attempts::run_once(const order& in, job& work)
{
    std::vector<base::endpoint> tried;
    std::optional<finished> last;
    const auto began = monotonic_clock::now();
    const auto pause_until = began + (in.deadline - began) / 2;
    while (tried.size() < most_attempts)
    {
        auto where = co_await places_.place_in_time(request_of(in, tried));
        const bool may_pause = in.may_pass &&
                               monotonic_clock::now() < pause_until &&
                               places_.own_capacity(in.service).slots == 0;
        if (auto* reason = std::get_if<base::error>(&where))
        {
            if (may_pause && reason->code == result_code::no_room)
            {
                co_await pause(pause_time);
                continue;
            }
            counts_.refused.fetch_add(1, std::memory_order_relaxed);
            if (last)
            {
                break;
            }
            co_return refuse(*reason, outcome::not_run);
        }
        tried.push_back(address_of(where));
        auto result = co_await run_at(
            where,
            work.request,
            in,
            options_for(in.idempotent),
            std::make_shared<race_branch>());
        const auto now = monotonic_clock::now();
        const bool again =
            result.next == next_step::place_elsewhere && in.may_pass &&
            now < in.deadline &&
            (!result.loads_upstream || in.state->budget.spend(now));
        last = std::move(result.end);
        if (!again)
        {
            break;
        }
        if (const auto* peer = std::get_if<peer_target>(&where))
        {
            // The view of the peer was old; it ran nothing.
            places_.note_peer_refused(peer->name, in.service);
        }
        // Without own workers there is no queue to wait in. The peers' room
        // comes back in less than the half of the time that this may take.
        if (!result.loads_upstream && may_pause)
        {
            tried.pop_back();
            co_await pause(pause_time);
            continue;
        }
        log_further(in.service, tried.back(), tried.size(), "not-run-there");
    }
    co_return std::move(*last);
}

asio::awaitable<attempt_result> attempts::run_at(
    placed& where,
    net::http_request request,
    order in,
    exchange_options options,
    std::shared_ptr<race_branch> branch)
{
    const auto target = address_of(where);
    const auto began = monotonic_clock::now();
    attempt_result out;
    if (auto* hold = std::get_if<slot_hold>(&where))
    {
        out = co_await run_here(
            *hold, std::move(request), in, options, std::move(branch));
    }
    else
    {
        counts_.passed_to_peers.fetch_add(1, std::memory_order_relaxed);
        out = co_await pass_on(
            std::get<peer_target>(where), std::move(request), in);
    }
    if (out.end.what == outcome::done)
    {
        const auto now = monotonic_clock::now();
        in.state->latency.add(base::to_string(target), now - began, now);
    }
    co_return out;
}

asio::awaitable<attempt_result> attempts::run_here(
    slot_hold& hold,
    net::http_request request,
    order in,
    exchange_options options,
    std::shared_ptr<race_branch> branch)
{
    const auto& pool = hold.pool();
    const auto attempt = next_attempt_id();
    net::set_field(request.fields, attempt_field, attempt);
    set_deadline(request, in.deadline);
    running_mark mark{pool, in.digest};
    auto answer =
        co_await pool->exchange(request, in.deadline, options, branch->trace);
    if (answer)
    {
        co_return judge_answer(std::move(answer).value(), attempt);
    }
    auto lost = judge_failure(answer.error());
    if (lost.next != next_step::repeat)
    {
        co_return lost;
    }
    co_return co_await examine_loss(*pool, mark, std::move(lost));
}

asio::awaitable<attempt_result> attempts::examine_loss(
    worker_pool& pool, running_mark& mark, attempt_result lost)
{
    if (!co_await pool.refuses_connections())
    {
        co_return lost;
    }
    const auto running = mark.claim_death();
    if (!running.empty())
    {
        poison_.worker_died(running, monotonic_clock::now());
        log_event(
            log_level::warning,
            log_channel::serving,
            "worker_died",
            "worker",
            base::to_string(pool.address()),
            "running",
            running.size());
    }
    co_return attempt_result{
        refuse({result_code::worker_died}, outcome::unknown),
        next_step::repeat_alone,
        true};
}

asio::awaitable<attempt_result> attempts::pass_on(
    const peer_target& peer, net::http_request request, order in)
{
    const auto attempt = next_attempt_id();
    net::set_field(request.fields, attempt_field, attempt);
    net::set_field(request.fields, passed_field, settings_.name);
    set_deadline(request, in.deadline);
    // A connection of its own: a kept one may have been forgotten by
    // something in between.
    auto answer = co_await net::fetch(
        peer.caller_address, std::move(request), in.deadline);
    auto result = answer ? judge_peer_answer(std::move(answer).value(), attempt)
                         : judge_failure(answer.error());
    if (result.next == next_step::place_elsewhere)
    {
        // The view of the peer was old; it ran nothing.
        places_.note_peer_refused(peer.name, in.service);
    }
    co_return result;
}

asio::awaitable<finished> attempts::run_suspect(const order& in, job& work)
{
    const open_trial trial{poison_, in.digest};
    auto where = co_await places_.place_in_time(request_of(in, {}));
    if (const auto* reason = std::get_if<base::error>(&where))
    {
        co_return refuse(*reason, outcome::not_run);
    }
    if (const auto* peer = std::get_if<peer_target>(&where))
    {
        auto passed = co_await pass_on(*peer, work.request, in);
        co_return std::move(passed.end);
    }
    auto result = co_await run_reserved(
        in, std::get<slot_hold>(std::move(where)), work.request);
    if (result.end.what == outcome::done)
    {
        poison_.clear_suspect(in.digest);
    }
    co_return std::move(result.end);
}

asio::awaitable<attempt_result> attempts::run_reserved(
    const order& in, slot_hold hold, const net::http_request& request)
{
    const auto& pool = hold.pool();
    const worker_reservation alone{pool};
    while (pool->in_use() > 1)
    {
        if (monotonic_clock::now() >= in.deadline)
        {
            co_return attempt_result{
                refuse({result_code::queue_timeout}, outcome::not_run)};
        }
        co_await pause(wait_step);
    }
    co_return co_await run_here(
        hold, request, in, {.fresh = true}, std::make_shared<race_branch>());
}

} // namespace waxwingvalve::daemon::serving
