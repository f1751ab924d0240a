// What must hold, from what workers and callers see.
#include "soak/soak_run.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "soak/soak_accounts.hpp"

namespace waxwingvalve::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr std::array<unsigned, 4> not_run_statuses{408, 421, 429, 503};
constexpr unsigned too_many_requests = 429;
constexpr std::chrono::milliseconds check_span{2'000};
constexpr std::chrono::milliseconds memory_interval{20};
// Stated target: of the requests after the faults nearly all are served.
constexpr double least_served = 0.95;

bool has_quota(const std::string& name)
{
    return std::ranges::any_of(
        accounts,
        [&](const soak_account& account)
        { return account.name == name && account.requests_per_s > 0; });
}

} // namespace

// These statuses say that the request has not run and never will.
void soak_run::check_refusals()
{
    for (const auto& [id, record] : seen_.attempts)
    {
        const bool promised =
            std::ranges::find(not_run_statuses, record.status) !=
            not_run_statuses.end();
        if (promised && !record.idempotent && record.runs > 0)
        {
            seen_.broken.push_back("refused as not run, but ran: " + id);
        }
    }
}

// A request that a daemon could answer is answered, and one that has run is
// answered even if its daemon was stopped meanwhile as planned.
void soak_run::check_answers()
{
    for (const auto& [id, record] : seen_.attempts)
    {
        if (record.status != 0 || record.ended_at == base::instant{})
        {
            continue;
        }
        const auto& asked = *daemons_[static_cast<std::size_t>(record.daemon)];
        const bool lost = asked.undisturbed(record.sent_at, record.ended_at) ||
                          (record.runs > 0 &&
                           asked.only_stopped(record.sent_at, record.ended_at));
        if (lost)
        {
            seen_.broken.push_back(fmt::format(
                "ran {} times, not answered by entry-{}: {}",
                record.runs,
                record.daemon,
                id));
        }
    }
}

// No process ends by itself.
void soak_run::check_processes()
{
    for (auto& one : daemons_)
    {
        for (const auto& end : one->own_ends())
        {
            seen_.broken.push_back(fmt::format(
                "entry-{} ended by itself with {}", one->number(), end));
        }
    }
}

void soak_run::watch_memory()
{
    for (auto& one : daemons_)
    {
        const auto used = one->running() ? one->peak_bytes() : 0;
        if (used > memory_bytes)
        {
            seen_.broken.push_back(fmt::format(
                "entry-{} uses {} MB", one->number(), used / 1'000'000));
        }
        peak_bytes_ = std::max(peak_bytes_, used);
    }
    later(loop_, memory_interval, [this] { watch_memory(); });
}

void soak_run::check_recovery()
{
    const auto from = base::monotonic_clock::now();
    run_for(check_span);
    int asked = 0;
    int served = 0;
    for (const auto& [id, record] : seen_.attempts)
    {
        // What an account asks beyond its quota is not owed.
        const bool beyond_quota =
            record.status == too_many_requests && has_quota(record.account);
        if (record.sent_at >= from && record.status != 0 && !beyond_quota)
        {
            ++asked;
            served += record.status == 200 ? 1 : 0;
        }
    }
    if (asked == 0 || served < least_served * asked)
    {
        seen_.broken.push_back(fmt::format(
            "after the faults {} of {} were served", served, asked));
    }
}

void soak_run::check_drain()
{
    auto& leaving = *workers_.front();
    leaving.drain();
    store_.write_worker(leaving.id(), leaving.entry());
    const auto told = base::monotonic_clock::now();
    run_for(drain_bound + 1s);
    if (seen_.last_run[leaving.id()] > told + drain_bound)
    {
        seen_.broken.push_back("a leaving worker got a request too late");
    }
}

} // namespace waxwingvalve::soak
