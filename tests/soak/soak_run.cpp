#include "soak/soak_run.hpp"

#include "soak/soak_accounts.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "soak/byte_flood.hpp"

namespace waxwingvalve::soak
{

using namespace std::chrono_literals;

namespace
{

// Daemons of a seed, in turn; each tenth seed has `most_daemons`.
constexpr std::array daemon_counts{5, 11, 24};
constexpr int most_daemons = 60;
constexpr int seeds_to_most = 10;
constexpr int worker_count = 6;
constexpr int caller_count = 24;
// Faults that begin at one moment.
constexpr int max_series = 3;
// From the end of the faults to the check that all is well again.
constexpr std::chrono::milliseconds recovery{6'000};
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// A sanitizer's own memory is a multiple of the daemon's.
constexpr bool checks_memory = false;
#else
constexpr bool checks_memory = true;
#endif

int daemons_of(std::uint64_t seed)
{
    return seed % seeds_to_most == 0
               ? most_daemons
               : daemon_counts.at(seed % daemon_counts.size());
}

} // namespace

soak_run::soak_run(
    std::uint64_t seed,
    std::filesystem::path folder,
    std::filesystem::path other_daemon)
    : random_{seed}, daemon_count_{daemons_of(seed)}, folder_{std::move(
                                                          folder)},
      other_daemon_{std::move(other_daemon)}, store_{loop_, random_()}
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
}

void soak_run::build()
{
    store_.write_next_configuration();
    seen_.attempts[std::string{flood_attempt}] = {.idempotent = true};
    for (int i = 0; i < worker_count; ++i)
    {
        workers_.push_back(std::make_unique<soak_worker>(
            loop_, i, fmt::format("i-{}", i), seen_, random_()));
        store_.write_worker(workers_[i]->id(), workers_[i]->entry());
    }
    for (int i = 0; i < daemon_count_; ++i)
    {
        daemons_.push_back(std::make_unique<soak_daemon>(
            i,
            store_.address(),
            folder_,
            i % 2 == 1 ? other_daemon_ : WAXWINGVALVE_PLATFORM_DAEMON));
    }
    run_for(2s);
    for (int i = 0; i < caller_count; ++i)
    {
        callers_.push_back(std::make_unique<soak_caller>(
            loop_, i, daemons_, seen_, random_()));
        callers_.back()->start();
    }
}

void soak_run::run_for(base::duration time)
{
    loop_.restart();
    loop_.run_for(time);
}

std::vector<std::string> soak_run::play(std::chrono::seconds length)
{
    build();
    if (checks_memory)
    {
        watch_memory();
    }
    configurations_.start();
    const auto end = base::monotonic_clock::now() + length;
    later(
        loop_,
        length - draw_time(1'000, 4'000),
        [this] { store_.keep_copy(); });
    while (base::monotonic_clock::now() < end)
    {
        for (int i = draw(1, max_series); i > 0; --i)
        {
            inject();
        }
        run_for(draw_time(50, 700));
    }
    // The faults end with a loss of writes, else few of the restores would be
    // followed by a time in which configurations are judged.
    store_.go_away(false);
    run_for(draw_time(100, 800));
    end_faults();
    run_for(recovery);
    store_.write_next_configuration();
    check_recovery();
    check_drain();
    check_processes();
    configurations_.finish();
    for (auto& one : callers_)
    {
        one->stop();
    }
    run_for(3'500ms);
    check_refusals();
    check_answers();
    check_quotas(seen_);
    fmt::print(
        "{} daemons of up to {} MB, {} attempts, {} restores, {} judged on "
        "configurations, ",
        daemon_count_,
        peak_bytes_ / 1'000'000,
        seen_.attempts.size(),
        store_.restores(),
        configurations_.judged());
    return seen_.broken;
}

} // namespace waxwingvalve::soak
