#include "decision/limits/worker_limit.hpp"

#include <algorithm>

namespace waxwingvalve::decision::limits
{
namespace
{

constexpr std::chrono::milliseconds initial_backoff{20};
constexpr std::chrono::milliseconds max_backoff{500};
// Requests that a worker still gets after bad reports or refusals. With zero, a
// wrong report could keep it idle forever, as only answers grow its window.
constexpr std::uint32_t probe_requests = 1;

std::uint8_t bit_of(drain_source source)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(source));
}

} // namespace

worker_limit::worker_limit(
    std::uint32_t slots, base::instant now, base::duration max_run_time)
    : slots_{slots}, inherited_{slots},
      inherited_until_{now + max_run_time}, backoff_{initial_backoff}
{
}

std::uint32_t worker_limit::inherited(base::instant now) const
{
    return now < inherited_until_ ? std::min(inherited_, slots_) : 0;
}

std::uint32_t worker_limit::max_concurrent(base::instant now) const
{
    if (draining() || now < backoff_until_)
    {
        return 0;
    }
    const auto inherited_now = inherited(now);
    auto limit = std::min(window_, slots_ - inherited_now);
    if (reported_elsewhere_ > inherited_now)
    {
        const auto reported_free =
            slots_ - std::min(reported_elsewhere_, slots_);
        limit = std::min(limit, std::max(reported_free, probe_requests));
    }
    return reachable_ ? limit : std::min(limit, probe_requests);
}

void worker_limit::set_draining(drain_source source, bool draining)
{
    const auto bit = bit_of(source);
    drain_sources_ = static_cast<std::uint8_t>(
        draining ? drain_sources_ | bit : drain_sources_ & ~bit);
}

void worker_limit::note_answer()
{
    backoff_ = initial_backoff;
    if (++answers_ < window_)
    {
        return;
    }
    answers_ = 0;
    window_ = std::min(window_ + 1, slots_);
}

void worker_limit::note_refusal(base::instant now)
{
    // Refusals during the backoff belong to the same event.
    if (now < backoff_until_)
    {
        return;
    }
    answers_ = 0;
    window_ = std::max(window_ / 2, probe_requests);
    backoff_until_ = now + backoff_;
    backoff_ = std::min<base::duration>(backoff_ * 2, max_backoff);
}

void worker_limit::note_report(
    const health_report& report, std::uint32_t own_peak)
{
    reachable_ = true;
    set_draining(drain_source::health, report.draining);
    if (boot_ != 0 && report.boot != boot_)
    {
        reset_window();
    }
    boot_ = report.boot;
    reported_elsewhere_ =
        report.running > own_peak ? report.running - own_peak : 0;
    // Inherited requests can only decrease: earlier owners send no more.
    inherited_ = std::min(inherited_, reported_elsewhere_);
}

void worker_limit::reset_window()
{
    window_ = probe_requests;
    answers_ = 0;
}

} // namespace waxwingvalve::decision::limits
