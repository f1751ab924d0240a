#include "daemon/metrics_page.hpp"

#include <string_view>

#include <fmt/format.h>

#include "base/log.hpp"

namespace waxwingvalve::daemon
{
namespace
{

void add(
    std::string& out,
    std::string_view name,
    std::string_view kind,
    std::string_view help,
    std::uint64_t value)
{
    out += fmt::format(
        "# HELP waxwingvalve_{0} {1}\n# TYPE waxwingvalve_{0} {2}\n"
        "waxwingvalve_{0} {3}\n",
        name,
        help,
        kind,
        value);
}

double seconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>{time}.count();
}

void add_latency(
    std::string& out,
    std::string_view name,
    std::string_view help,
    const base::latency_summary& of)
{
    out += fmt::format(
        "# HELP waxwingvalve_{0} {1}\n# TYPE waxwingvalve_{0} summary\n"
        "waxwingvalve_{0}{{quantile=\"0.5\"}} {2}\n"
        "waxwingvalve_{0}{{quantile=\"0.99\"}} {3}\n"
        "waxwingvalve_{0}{{quantile=\"0.999\"}} {4}\n"
        "waxwingvalve_{0}_sum {5}\nwaxwingvalve_{0}_count {6}\n",
        name,
        help,
        seconds(of.p50),
        seconds(of.p99),
        seconds(of.p999),
        seconds(of.sum),
        of.count);
}

} // namespace

std::string metrics_page(const figures& counts)
{
    std::string out;
    add(out,
        "revision",
        "gauge",
        "Configuration revision in force.",
        counts.revision.load());
    add(out,
        "leaving",
        "gauge",
        "1 while a planned stop runs.",
        counts.leaving.load() ? 1 : 0);
    add(out,
        "look_ups_total",
        "counter",
        "Look-ups answered.",
        counts.look_ups.load());
    add(out,
        "requests_total",
        "counter",
        "Requests to a service.",
        counts.requests.load());
    add(out,
        "refused_total",
        "counter",
        "Requests refused here.",
        counts.refused.load());
    add(out,
        "passed_to_peers_total",
        "counter",
        "Requests passed on.",
        counts.passed_to_peers.load());
    add(out,
        "platform_reads_total",
        "counter",
        "Reads of the platform.",
        counts.platform_reads.load());
    add(out,
        "platform_failures_total",
        "counter",
        "Reads that failed.",
        counts.platform_failures.load());
    add(out,
        "connections",
        "gauge",
        "Callers' connections open now.",
        counts.connections.load());
    add(out,
        "running",
        "gauge",
        "Requests that run now.",
        counts.running.load());
    add(out,
        "log_lines_dropped_total",
        "counter",
        "Log lines dropped since the ring was full.",
        base::log_lines_dropped());
    add_latency(
        out,
        "request_seconds",
        "Time from a whole request to its answer, last minute.",
        *counts.request_latency.get());
    return out;
}

} // namespace waxwingvalve::daemon
