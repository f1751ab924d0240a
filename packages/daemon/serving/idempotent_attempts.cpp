// The part of `attempts` that may send a request more than once.
#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "daemon/serving/attempt_rules.hpp"
#include "daemon/serving/attempts.hpp"
#include "decision/retries/time_left.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::monotonic_clock;
using base::result_code;
using decision::retries::poison_verdict;

namespace
{

// How much an attempt's outcome says of the whole request.
int weight(outcome what)
{
    switch (what)
    {
    case outcome::done:
        return 2;
    case outcome::unknown:
        return 1;
    case outcome::not_run:
        break;
    }
    return 0;
}

} // namespace

attempts::race_times attempts::times_of(const order& in, base::instant now)
{
    const auto left = in.deadline - now;
    const auto percentile =
        in.hedge_percentile == 0
            ? std::nullopt
            : in.state->latency.median_percentile(in.hedge_percentile, now);
    const auto hedge_time = decision::retries::hedge_delay(left, percentile);
    return {
        .hedge_at = hedge_time ? now + *hedge_time : in.deadline,
        .stalled_at = now + decision::retries::stall_timeout(left)};
}

asio::awaitable<finished> attempts::run_race(const order& in, job& work)
{
    attempt_race race{co_await asio::this_coro::executor};
    progress so_far{work.request};
    auto where = co_await places_.place_in_time(request_of(in, {}));
    if (const auto* reason = std::get_if<base::error>(&where))
    {
        counts_.refused.fetch_add(1, std::memory_order_relaxed);
        co_return refuse(*reason, outcome::not_run);
    }
    start_branch(race, in, so_far, std::move(where), options_for(true));
    auto times = times_of(in, monotonic_clock::now());
    while (true)
    {
        const auto beside = std::min(times.hedge_at, times.stalled_at);
        auto end = co_await race.next(std::min(beside, in.deadline));
        if (!end)
        {
            if (monotonic_clock::now() >= in.deadline)
            {
                break;
            }
            start_beside(race, in, so_far, times);
            continue;
        }
        const auto next = end->result.next;
        if (go_on(race, in, so_far, end->result))
        {
            continue;
        }
        count_losers(race, in, end->branch->began);
        if (next == next_step::repeat_alone && co_await may_run_alone(in))
        {
            auto alone = co_await run_suspect(in, work);
            // The first attempt may have run, whatever becomes of this one.
            if (alone.what != outcome::not_run)
            {
                co_return alone;
            }
        }
        if (next == next_step::place_elsewhere && !end->result.loads_upstream &&
            so_far.answer->what == outcome::not_run)
        {
            // Nothing ran and nobody has room at once: wait for a slot.
            co_return co_await run_once(in, work);
        }
        co_return std::move(*so_far.answer);
    }
    if (so_far.answer && so_far.answer->what == outcome::done)
    {
        co_return std::move(*so_far.answer);
    }
    const base::error late{result_code::deadline_passed};
    co_return refuse(late, outcome::unknown);
}

bool attempts::go_on(
    attempt_race& race,
    const order& in,
    progress& so_far,
    const attempt_result& ended)
{
    // What one attempt says is not said of the others: only when none may
    // have run is the request refused as not run.
    if (!so_far.answer || weight(ended.end.what) >= weight(so_far.answer->what))
    {
        so_far.answer = ended.end;
    }
    if (ended.next == next_step::none && ended.end.what == outcome::done)
    {
        return false;
    }
    return race.running() > 0 || retry(race, in, so_far, ended);
}

asio::awaitable<bool> attempts::may_run_alone(const order& in)
{
    if (!in.state->budget.spend(monotonic_clock::now()))
    {
        co_return false;
    }
    const auto verdict = co_await admit(in);
    co_return verdict == poison_verdict::run_alone;
}

void attempts::start_beside(
    attempt_race& race, const order& in, progress& so_far, race_times& times)
{
    const auto now = monotonic_clock::now();
    if (now >= times.hedge_at)
    {
        times.hedge_at = in.deadline;
        hedge(race, in, so_far);
    }
    if (now >= times.stalled_at)
    {
        times.stalled_at = in.deadline;
        replace_stalled(race, in, so_far);
    }
}

// A cancelled attempt that began before the winner took at least this long;
// without it a slow target would look as fast as the few answers that it was
// in time for. One that began later had no time to show anything.
void attempts::count_losers(
    const attempt_race& race, const order& in, base::instant winner_began)
{
    const auto now = monotonic_clock::now();
    for (const auto& branch : race.branches())
    {
        if (!branch->ended && branch->began < winner_began)
        {
            const auto target = base::to_string(branch->target);
            in.state->latency.add(target, now - branch->began, now);
        }
    }
}

void attempts::start_branch(
    attempt_race& race,
    const order& in,
    progress& so_far,
    placed chosen,
    exchange_options options)
{
    const auto where = std::make_shared<placed>(std::move(chosen));
    auto branch = std::make_shared<race_branch>();
    branch->target = address_of(*where);
    branch->began = monotonic_clock::now();
    if (const auto* hold = std::get_if<slot_hold>(where.get()))
    {
        branch->pool = hold->pool();
    }
    so_far.tried.push_back(branch->target);
    race.start(
        branch,
        [this, where, in, options, request = so_far.request](
            std::shared_ptr<race_branch> own)
        { return run_at(*where, request, in, options, std::move(own)); });
}

bool attempts::start_another(
    attempt_race& race, const order& in, progress& so_far)
{
    if (so_far.tried.size() >= most_attempts)
    {
        return false;
    }
    auto where = places_.place(request_of(in, so_far.tried));
    if (std::holds_alternative<base::error>(where))
    {
        return false;
    }
    start_branch(race, in, so_far, std::move(where), {.fresh = true});
    return true;
}

void attempts::hedge(attempt_race& race, const order& in, progress& so_far)
{
    if (race.running() == 1 && in.state->budget.spend(monotonic_clock::now()) &&
        start_another(race, in, so_far))
    {
        log_further(
            in.service, so_far.tried.back(), so_far.tried.size(), "hedge");
    }
}

// Nothing has come for half of the time. A kept connection may have gone
// silent, and then a new one works; a new one that is slow has only the
// budget.
void attempts::replace_stalled(
    attempt_race& race, const order& in, progress& so_far)
{
    const auto now = monotonic_clock::now();
    bool allowed = false;
    for (const auto& branch : race.branches())
    {
        if (!branch->ended && branch->trace.kept && branch->pool)
        {
            branch->pool->distrust_kept();
            allowed = allowed || branch->pool->spend_silence_allowance(now);
        }
    }
    if (so_far.tried.size() >= most_attempts ||
        (!allowed && !in.state->budget.spend(now)))
    {
        return;
    }
    if (!start_another(race, in, so_far))
    {
        // Without another worker a new connection to the same one may do.
        so_far.tried.clear();
        if (!start_another(race, in, so_far))
        {
            return;
        }
    }
    log_further(
        in.service, so_far.tried.back(), so_far.tried.size(), "stalled");
}

bool attempts::retry(
    attempt_race& race,
    const order& in,
    progress& so_far,
    const attempt_result& failed)
{
    const auto now = monotonic_clock::now();
    const bool may = failed.next != next_step::none &&
                     failed.next != next_step::repeat_alone &&
                     now < in.deadline && so_far.tried.size() < most_attempts &&
                     (!failed.loads_upstream || in.state->budget.spend(now));
    if (!may || !start_another(race, in, so_far))
    {
        return false;
    }
    log_further(in.service, so_far.tried.back(), so_far.tried.size(), "retry");
    return true;
}

} // namespace waxwingvalve::daemon::serving
