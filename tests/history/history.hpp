// Checks off line what callers and upstreams recorded of a concurrent run.
//
// The checker knows nothing of how the system works: it only compares what
// callers were told with what upstreams ran.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingvalve::history
{

// One request of a caller and what came back.
struct caller_record
{
    std::string key{};
    std::string method{};
    std::string target{};
    std::string body{};
    // Nothing when no whole answer came.
    std::optional<unsigned> status{};
    // Of the system's own answers; empty for one of an upstream.
    std::string outcome{};
    std::string answer{};
};

// One run of a request by an upstream.
struct run_record
{
    std::string worker{};
    std::string key{};
    std::string method{};
    std::string target{};
    std::string body{};
};

enum class violation_kind : std::uint8_t
{
    ran_twice,
    // Refused as not run, though the key ran at some time.
    refused_but_ran,
    // Answered as done, though the key never ran.
    done_but_never_ran,
    answer_of_another_request,
    // An answer that is not what the upstream sends whole.
    answer_cut_short,
};

struct violation
{
    violation_kind kind{};
    std::string key{};
};

std::string_view to_string(violation_kind kind);

// Every violation found, in the order of the kinds.
std::vector<violation> check(
    std::span<const caller_record> callers, std::span<const run_record> runs);

} // namespace waxwingvalve::history
