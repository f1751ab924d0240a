#include "net/guarded.hpp"

#include <atomic>

namespace waxwingvalve::net
{
namespace
{

std::atomic<std::uint64_t> failures{0};

} // namespace

std::uint64_t guarded_failures()
{
    return failures.load();
}

void report_guarded_failure(std::string_view handler, std::string_view reason)
{
    ++failures;
    base::log_event(
        base::log_level::error,
        base::log_channel::link,
        "handler_failed",
        "handler",
        handler,
        "reason",
        reason);
}

} // namespace waxwingvalve::net
