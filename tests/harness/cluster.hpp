// A whole deployment as separate processes on loopback: the platform and
// upstream stand-ins, and a daemon for each entry VM.
//
// Each cluster takes a /16 of the loopback range for itself, so that several
// can run side by side. It starts nothing that it does not end.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "base/endpoint.hpp"
#include "harness/layout.hpp"
#include "harness/process.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::harness
{

struct entry_vm
{
    std::string name{};
    std::string region{};
    std::string zone{};
    base::endpoint caller_address{};
    base::endpoint peer_address{};
    base::endpoint operator_address{};
};

struct upstream_worker
{
    std::string service{};
    std::string zone{};
    base::endpoint address{};
    std::uint32_t slots{};
};

class cluster
{
public:
    explicit cluster(layout shape);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    const layout& shape() const { return shape_; }
    const std::vector<entry_vm>& entries() const { return entries_; }
    const std::vector<upstream_worker>& workers() const { return workers_; }
    const base::endpoint& platform() const { return platform_address_; }
    const std::filesystem::path& folder() const { return folder_; }

    // Daemons and operators' commands started from now on are of this build;
    // stand-ins always are of the build that the test is part of.
    void use_build(std::filesystem::path build) { build_ = std::move(build); }

    void start_platform();
    // One process for each service's workers in each zone.
    void start_upstreams();
    // Puts a relay before each worker (tests/stand_ins/link); records accepted
    // from then on name the relays.
    void start_worker_links();
    const base::endpoint& link_control() const { return link_control_; }
    // What a record calls this worker.
    base::endpoint recorded_address(const upstream_worker& one) const;
    void start_daemons();
    void start_daemon(const std::string& name);
    process& daemon(const std::string& name) { return *daemons_.at(name); }
    process& platform_process() { return *platform_process_; }
    std::filesystem::path log_of(const std::string& daemon) const;

    // Runs the operators' client as one of "selam" and "dawit".
    finished_process operate(
        const std::string& operator_name, std::vector<std::string> words);
    // Proposes as one operator, reviews and accepts as the other. Returns
    // the revision; 0 when a step was refused.
    std::uint64_t accept_record(const std::string& json);

    // Records of the layout, in the newest schema version.
    std::string deployment_record() const;
    std::string service_record(const std::string& service) const;
    // Accepts all of them and waits until every daemon has them in force.
    bool accept_layout();
    // Waits until all running daemons have at least this revision.
    bool wait_for_revision(std::uint64_t revision);

    // Waits until every worker has a daemon that dispatches to it.
    bool wait_for_owners();
    // Workers that running daemons say they own.
    std::size_t owned_workers() const;
    std::size_t owned_workers(const entry_vm& entry) const;

    net::exchange_result call(
        const base::endpoint& where,
        const net::http_request& request,
        std::chrono::milliseconds timeout = std::chrono::seconds{5}) const;
    // GET as JSON; an empty object when it fails.
    boost::json::object get_json(
        const base::endpoint& where, const std::string& target) const;
    // POST /control of a stand-in.
    void set_faults(const base::endpoint& where, const std::string& json) const;

private:
    void take_network();
    void lay_out();
    void write_settings(const entry_vm& entry) const;
    void write_operator_settings(const std::string& name) const;
    // Keys of both operators, for the client and the daemons.
    std::filesystem::path keys_file() const;
    base::endpoint address(int zone, int host, std::uint16_t port) const;

    struct network_hold;

    layout shape_;
    std::unique_ptr<network_hold> network_;
    std::filesystem::path folder_;
    std::filesystem::path build_;
    base::endpoint platform_address_;
    std::vector<entry_vm> entries_;
    std::vector<upstream_worker> workers_;
    std::unique_ptr<process> platform_process_;
    std::vector<process> upstreams_;
    std::unique_ptr<process> links_;
    base::endpoint link_control_;
    std::map<std::string, std::unique_ptr<process>> daemons_;
};

// Tries until `holds` returns true or the time is over.
bool wait_until(
    const std::function<bool()>& holds,
    std::chrono::milliseconds time = std::chrono::seconds{15});

} // namespace waxwingvalve::harness
