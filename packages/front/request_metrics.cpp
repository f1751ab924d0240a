// Formats request metrics as Prometheus text.
#include "front/request_metrics.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "net/guarded.hpp"

namespace waxwingvalve::front
{
namespace
{

void add_counter(
    std::string& text,
    const std::string& name,
    const std::string& help,
    std::uint64_t value)
{
    text += fmt::format(
        "# HELP waxwingvalve_{0} {1}\n# TYPE waxwingvalve_{0} counter\n"
        "waxwingvalve_{0} {2}\n",
        name,
        help,
        value);
}

void add_body_bytes(
    std::string& text, std::string_view kind, const base::byte_budget& budget)
{
    text += fmt::format(
        "waxwingvalve_body_bytes{{of=\"{}\"}} {}\n", kind, budget.used());
}

// What the process may use of the VM's memory, and what it uses.
void add_process_memory(std::string& text, const base::memory_limit& limit)
{
    text += fmt::format(
        "# HELP waxwingvalve_memory_limit_bytes What the process may use.\n"
        "# TYPE waxwingvalve_memory_limit_bytes gauge\n"
        "waxwingvalve_memory_limit_bytes{{source=\"{}\"}} {}\n"
        "# HELP waxwingvalve_resident_bytes What the process uses.\n"
        "# TYPE waxwingvalve_resident_bytes gauge\n"
        "waxwingvalve_resident_bytes {}\n",
        base::describe(limit.source),
        limit.bytes,
        base::resident_bytes());
}

} // namespace

void latency_histogram::add(base::duration latency)
{
    const auto bound = std::ranges::find_if(
        bounds, [&](auto upper) { return latency <= upper; });
    ++counts_[static_cast<std::size_t>(bound - bounds.begin())];
    sum_ += latency;
    ++total_;
}

std::string latency_histogram::text(
    const std::string& name, const std::string& help) const
{
    auto lines = fmt::format(
        "# HELP waxwingvalve_{0} {1}\n# TYPE waxwingvalve_{0} histogram\n",
        name,
        help);
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        cumulative += counts_[i];
        lines += fmt::format(
            "waxwingvalve_{}_bucket{{le=\"{}\"}} {}\n",
            name,
            std::chrono::duration<double>{bounds[i]}.count(),
            cumulative);
    }
    lines += fmt::format(
        "waxwingvalve_{0}_bucket{{le=\"+Inf\"}} {1}\n"
        "waxwingvalve_{0}_sum {2}\nwaxwingvalve_{0}_count {1}\n",
        name,
        total_,
        sum_.count());
    return lines;
}

std::string metrics_text(
    const request_metrics& counts, const body_memory& memory)
{
    std::string text;
    add_counter(text, "requests_total", "Requests read.", counts.requests);
    add_counter(text, "sends_total", "Requests sent to workers.", counts.sends);
    add_counter(
        text, "retries_total", "Sends beyond the first.", counts.retries);
    add_counter(
        text,
        "callers_gone_total",
        "Callers that left before their answer.",
        counts.callers_gone);
    add_counter(
        text,
        "store_failures_total",
        "Calls to the store without a usable answer.",
        counts.store_failures);
    add_counter(
        text,
        "table_bytes_discarded_total",
        "Bytes of the store's rows that were read in vain.",
        counts.table_bytes_discarded);
    text += fmt::format(
        "# HELP waxwingvalve_configuration Number of the one in force.\n"
        "# TYPE waxwingvalve_configuration gauge\n"
        "waxwingvalve_configuration {}\n",
        counts.configuration);
    add_counter(
        text,
        "health_checks_total",
        "Health checks sent to workers.",
        counts.health_checks);
    add_counter(
        text,
        "health_answers_total",
        "Health checks that the worker answered in time.",
        counts.health_answers);
    text += "# HELP waxwingvalve_request_ends_total Requests by their end.\n"
            "# TYPE waxwingvalve_request_ends_total counter\n";
    for (const auto& [end, count] : counts.ends)
    {
        text += fmt::format(
            "waxwingvalve_request_ends_total{{end=\"{}\"}} {}\n", end, count);
    }
    add_process_memory(text, memory.process);
    text += "# HELP waxwingvalve_body_bytes Buffered bytes of bodies.\n"
            "# TYPE waxwingvalve_body_bytes gauge\n";
    add_body_bytes(text, "request", memory.requests);
    add_body_bytes(text, "answer", memory.answers);
    add_counter(
        text,
        "bodies_refused_total",
        "Bodies for which there was no memory.",
        memory.requests.refusals() + memory.answers.refusals());
    add_counter(
        text,
        "requests_unreadable_total",
        "Requests that could not be read.",
        counts.requests_unreadable);
    add_counter(
        text,
        "requests_without_account_total",
        "Requests refused for want of a key that is in force.",
        counts.requests_without_account);
    add_counter(
        text,
        "quota_exceeded_total",
        "Requests refused because their account has used its quota.",
        counts.quota_exceeded);
    add_counter(
        text,
        "quota_unconfirmed_total",
        "Requests refused because no owner of their quota answers.",
        counts.quota_unconfirmed);
    add_counter(
        text,
        "quota_waits_total",
        "Requests that waited for a token of their account.",
        counts.quota_waits);
    add_counter(
        text,
        "quota_messages_total",
        "Messages about quotas sent to other daemons.",
        counts.quota_messages);
    add_counter(
        text,
        "answers_unreadable_total",
        "Answers of workers that could not be read.",
        counts.answers_unreadable);
    add_counter(
        text,
        "answers_oversized_total",
        "Answers over the bounds of one answer.",
        counts.answers_oversized);
    add_counter(
        text,
        "requests_without_answer_memory_total",
        "Requests not sent for lack of memory for their answer.",
        counts.requests_without_answer_memory);
    add_counter(
        text,
        "connections_turned_away_total",
        "Callers' connections beyond the limit.",
        counts.connections_turned_away);
    add_counter(
        text,
        "handlers_failed_total",
        "Connections ended by an internal failure.",
        net::guarded_failures());
    text += counts.answer_latency.text(
        "answer_seconds", "From a request's last byte to its answer.");
    return text;
}

} // namespace waxwingvalve::front
