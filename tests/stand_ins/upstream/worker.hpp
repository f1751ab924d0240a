// One upstream worker of the stand-in: slots, health, faults and a record of
// every run.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "net/http_message.hpp"
#include "net/http_server.hpp"

namespace waxwingvalve::stand_ins
{

// What POST /control sets, as JSON with any of these names.
struct worker_faults
{
    // Time that a request takes, and how much of it varies at random.
    std::int64_t service_ms{2};
    std::int64_t jitter_ms{0};
    // Requests after the start that take ten times as long (a cold start).
    std::int64_t cold_requests{0};
    bool draining{false};
    // Refuses every request as shed, without running it.
    bool shed{false};
    // Answers each request with 500 after running it.
    bool fail{false};
    // The same for this share of the requests.
    std::int64_t fail_percent{0};
    // Runs, then closes the connection without an answer.
    std::int64_t lose_answers{0};
    // Runs, then sends an answer with another attempt's id.
    std::int64_t cross_answers{0};
    // What /health claims as running requests, instead of the truth.
    std::int64_t claimed_running{-1};
    // A request with the header Waxwing-Test-Crash stops the worker for this.
    std::int64_t crash_ms{500};
};

// A run of one request, as the history checker reads it.
struct worker_run
{
    std::string key{};
    std::string attempt{};
    std::string method{};
    std::string target{};
    std::string body{};
    // The deadline that came with it, as text; empty without one.
    std::string deadline_ms{};
    std::int64_t began_us{};
    // 0 while it runs, or when it was cancelled or crashed.
    std::int64_t ended_us{};
};

class worker
{
public:
    worker(
        boost::asio::io_context& context,
        base::endpoint where,
        std::uint32_t slots,
        std::uint64_t seed);

    base::result<void> listen();

private:
    using reply = std::optional<net::http_response>;

    void start_server();
    boost::asio::awaitable<reply> serve(net::http_request in);
    boost::asio::awaitable<reply> run(net::http_request in);
    boost::asio::awaitable<void> crash();
    net::http_response health() const;
    net::http_response control(const net::http_request& in);
    net::http_response finish(const net::http_request& in, std::size_t run_at);
    std::chrono::milliseconds service_time();
    bool fails_by_chance();

    boost::asio::io_context& context_;
    base::endpoint where_;
    std::uint32_t slots_;
    std::mt19937_64 random_;
    worker_faults faults_;
    std::unique_ptr<net::http_server> server_;
    std::vector<worker_run> runs_;
    // Changes with each restart, so that a restarted worker shows as new.
    std::uint64_t boot_{1};
    std::uint32_t running_{0};
    std::uint32_t highest_running_{0};
    std::uint64_t refused_over_slots_{0};
    std::uint64_t crashes_{0};
};

} // namespace waxwingvalve::stand_ins
