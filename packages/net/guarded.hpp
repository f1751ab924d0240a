// The last line of defence against bytes from outside: an exception in the
// handler of a connection ends that connection and not the process.
//
// Readers report what they refuse by values, so that none is expected here.
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

#include "base/log.hpp"

namespace waxwingvalve::net
{

// Exceptions that were caught by run_guarded() in this process.
std::uint64_t guarded_failures();

// Counts and logs an exception that left the handler named `handler`.
void report_guarded_failure(std::string_view handler, std::string_view reason);

// Runs a step of a handler. Returns false if it threw; what the step works on
// may then be in any valid state and has to be closed.
template <class Step>
bool run_guarded(std::string_view handler, Step&& step)
{
    try
    {
        std::forward<Step>(step)();
        return true;
    }
    catch (const std::exception& failure)
    {
        report_guarded_failure(handler, failure.what());
        return false;
    }
}

// For co_spawn: reports the exception that a coroutine ended with.
inline auto report_failure_of(std::string_view handler)
{
    return [handler](const std::exception_ptr& failure)
    {
        run_guarded(
            handler,
            [&]
            {
                if (failure)
                {
                    std::rethrow_exception(failure);
                }
            });
    };
}

} // namespace waxwingvalve::net
