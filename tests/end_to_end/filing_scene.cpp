#include "end_to_end/filing_scene.hpp"

#include <algorithm>
#include <iostream>
#include <stdexcept>

#include <boost/json.hpp>

namespace waxwingvalve::end_to_end
{
namespace
{

std::string field(const net::http_response& in, std::string_view name)
{
    return std::string{net::find_field(in.fields, name).value_or("")};
}

std::string text(const boost::json::object& in, std::string_view name)
{
    return std::string{in.at(name).as_string()};
}

} // namespace

filing_scene::filing_scene()
{
    cluster.start_platform();
    cluster.start_upstreams();
    cluster.start_daemons();
    if (!cluster.accept_layout())
    {
        throw std::runtime_error{"the layout was not accepted"};
    }
}

boost::json::object filing_scene::listed(const harness::entry_vm& entry) const
{
    const auto list = cluster.get_json(
        entry.caller_address, "/v1/entries?service=seam-registry");
    const auto own = to_string(entry.caller_address);
    for (const auto& one : list.at("entries").as_array())
    {
        if (text(one.as_object(), "address") == own)
        {
            return one.as_object();
        }
    }
    throw std::runtime_error{"the entry does not name itself"};
}

std::string filing_scene::new_key(const harness::entry_vm& entry)
{
    const auto prefix = text(listed(entry), "key_prefix");
    const std::lock_guard lock{mutex_};
    return prefix + "test-" + std::to_string(++last_key_);
}

bool filing_scene::owns_workers(const harness::entry_vm& entry)
{
    return listed(entry).at("weight").to_number<std::uint32_t>() > 0;
}

filing_answer filing_scene::file(
    const harness::entry_vm& entry,
    const std::string& key,
    const std::string& body)
{
    history::caller_record record{key, "POST", "/filings", body, {}, {}, {}};
    const auto got = cluster.call(
        entry.caller_address,
        {.method = record.method,
         .target = record.target,
         .fields =
             {{"Waxwing-Service", "seam-registry"},
              {"Waxwing-Deadline-Ms", "3000"},
              {"Idempotency-Key", key}},
         .body = body});
    filing_answer out;
    if (got)
    {
        const auto& answer = got.value();
        out = {
            answer.status,
            field(answer, "Waxwing-Outcome"),
            field(answer, "Waxwing-Code"),
            answer.body};
        record.status = out.status;
        record.outcome = out.outcome;
        record.answer = out.body;
    }
    const std::lock_guard lock{mutex_};
    records_.push_back(std::move(record));
    return out;
}

void filing_scene::set_workers(const std::string& json)
{
    for (const auto& worker : cluster.workers())
    {
        cluster.set_faults(worker.address, json);
    }
}

std::vector<history::run_record> filing_scene::runs()
{
    std::vector<history::run_record> out;
    for (const auto& worker : cluster.workers())
    {
        const auto state = cluster.get_json(worker.address, "/control");
        for (const auto& run : state.at("runs").as_array())
        {
            const auto& one = run.as_object();
            out.push_back(
                {to_string(worker.address),
                 text(one, "key"),
                 text(one, "method"),
                 text(one, "target"),
                 text(one, "body")});
        }
    }
    return out;
}

std::size_t filing_scene::runs_of(const std::string& key)
{
    return static_cast<std::size_t>(
        std::ranges::count(runs(), key, &history::run_record::key));
}

bool filing_scene::wait_for_run(const std::string& key)
{
    return harness::wait_until([&] { return runs_of(key) > 0; });
}

void filing_scene::replace(const harness::entry_vm& entry)
{
    cluster.daemon(entry.name).kill();
    cluster.daemon(entry.name).wait();
    cluster.start_daemon(entry.name);
    harness::wait_until(
        [&]
        {
            const auto status =
                cluster.get_json(entry.operator_address, "/v1/status");
            const auto* ready = status.if_contains("ready");
            return ready != nullptr && ready->as_bool();
        });
}

bool filing_scene::history_holds()
{
    const auto found = history::check(records_, runs());
    for (const auto& one : found)
    {
        std::cerr << history::to_string(one.kind) << ": " << one.key << '\n';
    }
    return found.empty();
}

} // namespace waxwingvalve::end_to_end
