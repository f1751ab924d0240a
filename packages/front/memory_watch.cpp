#include "front/memory_watch.hpp"

#include <chrono>

#include "base/log.hpp"
#include "base/memory_limit.hpp"

namespace waxwingvalve::front
{

namespace
{

constexpr std::chrono::seconds check_interval{1};
// Told at most this often.
constexpr std::chrono::seconds line_interval{10};
// Part of the limit from which on its use is told.
constexpr double high_share = 0.75;

} // namespace

void memory_watch::start()
{
    check();
    timer_.expires_after(check_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
            {
                start();
            }
        });
}

void memory_watch::check()
{
    const auto resident = base::resident_bytes();
    const auto limit = static_cast<double>(memory_.process.bytes);
    if (static_cast<double>(resident) > high_share * limit)
    {
        tell(resident);
    }
}

void memory_watch::tell(std::uint64_t resident)
{
    const auto now = base::monotonic_clock::now();
    if (now - told_at_ < line_interval)
    {
        return;
    }
    told_at_ = now;
    base::log_event(
        base::log_level::warning,
        base::log_channel::daemon,
        "memory_high",
        "resident",
        resident,
        "memory_limit",
        memory_.process.bytes,
        "request_bytes",
        memory_.requests.used(),
        "answer_bytes",
        memory_.answers.used());
}

} // namespace waxwingvalve::front
