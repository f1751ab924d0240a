// One daemon under load: look-ups a second of its processor time, the latency
// that an entry adds to a request (the same upstream direct and through the
// entry, in turns), and memory.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include "base/time.hpp"
#include "harness/cluster.hpp"
#include "harness/process_figures.hpp"
#include "net/http_client.hpp"
#include "net/run_blocking.hpp"

namespace
{

namespace asio = boost::asio;
using namespace waxwingvalve;
using std::chrono::microseconds;

constexpr std::chrono::seconds call_timeout{5};

net::http_request look_up()
{
    return {
        .method = "GET",
        .target = "/v1/entries?service=seam-registry&client=127.0.0.1"};
}

net::http_request read_request()
{
    return {
        .method = "GET",
        .target = "/vessels/jar-1",
        .fields = {{"Waxwing-Service", "seam-registry"}}};
}

// One kept connection that asks again and again until `end`.
asio::awaitable<void> keep_asking(
    base::endpoint where, base::instant end, std::uint64_t& answered)
{
    net::http_connection connection{co_await asio::this_coro::executor};
    if (!co_await connection.connect(where, end))
    {
        co_return;
    }
    const auto request = look_up();
    while (base::monotonic_clock::now() < end)
    {
        if (!co_await connection.exchange(request, end + call_timeout))
        {
            co_return;
        }
        ++answered;
    }
}

std::uint64_t ask_on_threads(
    const base::endpoint& where, std::chrono::seconds time)
{
    constexpr std::size_t threads = 3;
    constexpr std::size_t connections_each = 16;
    const auto end = base::monotonic_clock::now() + time;
    std::vector<std::uint64_t> counts(threads * connections_each);
    std::vector<std::thread> clients;
    clients.reserve(threads);
    for (std::size_t thread = 0; thread < threads; ++thread)
    {
        clients.emplace_back(
            [&, thread]
            {
                asio::io_context context{1};
                for (std::size_t at = 0; at < connections_each; ++at)
                {
                    asio::co_spawn(
                        context,
                        keep_asking(
                            where, end, counts[thread * connections_each + at]),
                        asio::detached);
                }
                context.run();
            });
    }
    for (auto& client : clients)
    {
        client.join();
    }
    std::uint64_t total{0};
    for (const auto count : counts)
    {
        total += count;
    }
    return total;
}

struct side_by_side
{
    std::vector<microseconds> direct{};
    std::vector<microseconds> through{};
};

asio::awaitable<microseconds> timed(
    net::http_connection& connection, const net::http_request& request)
{
    const auto began = base::monotonic_clock::now();
    const auto answer =
        co_await connection.exchange(request, began + call_timeout);
    const auto took = base::monotonic_clock::now() - began;
    co_return answer&& answer.value().status == 200U
        ? std::chrono::duration_cast<microseconds>(took)
        : microseconds::max();
}

asio::awaitable<side_by_side> compare(
    base::endpoint worker, base::endpoint entry, int rounds)
{
    const auto executor = co_await asio::this_coro::executor;
    net::http_connection to_worker{executor};
    net::http_connection to_entry{executor};
    const auto deadline = base::monotonic_clock::now() + call_timeout;
    static_cast<void>(co_await to_worker.connect(worker, deadline));
    static_cast<void>(co_await to_entry.connect(entry, deadline));
    side_by_side out;
    const auto request = read_request();
    for (int round = 0; round < rounds; ++round)
    {
        out.direct.push_back(co_await timed(to_worker, request));
        out.through.push_back(co_await timed(to_entry, request));
    }
    co_return out;
}

void print(std::string_view name, std::vector<microseconds> times)
{
    std::ranges::sort(times);
    const auto at = [&](double share)
    {
        const auto index = static_cast<double>(times.size() - 1) * share;
        return times[static_cast<std::size_t>(index)].count();
    };
    fmt::print(
        "{:<16} p50 {:>5} us  p99 {:>5} us  p99.9 {:>5} us\n",
        name,
        at(0.5),
        at(0.99),
        at(0.999));
}

} // namespace

int main()
{
    harness::cluster cluster{
        {.name = "bench",
         .zones = {{"addis", "addis-a", 1}},
         .services = {{"seam-registry", 2, 4, "/filings"}},
         .zone_delay_us = 4000,
         .region_delay_us = 35000}};
    cluster.start_platform();
    cluster.start_upstreams();
    cluster.start_daemons();
    if (!cluster.accept_layout())
    {
        std::cerr << "the records did not come in force\n";
        return 1;
    }
    for (const auto& worker : cluster.workers())
    {
        cluster.set_faults(worker.address, R"({"service_ms": 0})");
    }
    const auto& entry = cluster.entries().front();
    const int process = cluster.daemon(entry.name).id();

    constexpr std::chrono::seconds load_time{5};
    const auto before = harness::processor_seconds(process);
    const auto answered = ask_on_threads(entry.caller_address, load_time);
    const auto used = harness::processor_seconds(process) - before;
    fmt::print(
        "look-ups         {} in {} s over 48 connections: {:.0f} a second, "
        "{:.0f} a second of processor time\n",
        answered,
        load_time.count(),
        static_cast<double>(answered) / static_cast<double>(load_time.count()),
        static_cast<double>(answered) / used);

    constexpr int rounds = 5000;
    const auto times = net::run_blocking(compare(
        cluster.workers().front().address, entry.caller_address, rounds));
    print("direct", times.direct);
    print("through entry", times.through);
    fmt::print(
        "memory           {} KB at the highest\n",
        harness::memory_high_water_kb(process));
}
