// A daemon's watch over a fake store, and other daemons that it may read from.
// Everything runs on one event loop in the test thread.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "front/fleet_view.hpp"
#include "front/request_metrics.hpp"
#include "net/http_server.hpp"
#include "platform/fake_store.hpp"
#include "platform/store_watch.hpp"

namespace waxwingvalve::tests
{

// A configuration with one route; its name and path follow the version.
std::string make_configuration(int version);

// The entry of a worker. `report` is the number of its report.
std::string make_worker(
    std::string_view state, std::int64_t born = 1, int report = 4);

front::steering::fleet_member make_local_member();

// Tells a view of a daemon that is live and cannot be reached.
void announce_unreachable_daemon(front::fleet_view& view);

struct store_watch_fixture
{
    static constexpr std::chrono::milliseconds report_interval{1'500};

    // Starts with configuration 5 and the worker "i-1".
    store_watch_fixture();

    bool wait_until(
        const std::function<bool()>& condition,
        std::chrono::milliseconds timeout);
    void run_for(std::chrono::milliseconds time);
    bool wait_until_loaded();
    // Waits until this configuration is in force.
    bool wait_until_configured(
        std::uint64_t version, std::chrono::milliseconds timeout);

    bool has_worker(const std::string& id) const;

    boost::asio::io_context loop;
    fake_store store{loop};
    front::fleet_view view{{}, make_local_member(), {{"addis-a", "addis"}}, 1};
    front::request_metrics metrics;
    platform::store_watch watch{
        loop, store.address(), view, metrics, report_interval};
};

// Another daemon of the region, from which the fixture's daemon reads once it
// has been announced.
class relay_daemon
{
public:
    // `store` is where this daemon reads.
    // Daemons that live at once need different numbers of their hosts.
    relay_daemon(
        store_watch_fixture& fixture,
        const base::endpoint& store,
        int host_number = 0);

    // Makes this daemon the one that reads the store for the region.
    void announce() { announce_to(fixture_.view, "first"); }
    // Tells the daemon of another view of this one. The daemon with the lowest
    // name reads the store; the other's is "self".
    void announce_to(front::fleet_view& other, std::string name)
    {
        announce_at(other, std::move(name), address_);
    }
    // The same with another address, which leads to this daemon.
    void announce_at(
        front::fleet_view& other,
        std::string name,
        const base::endpoint& control_address);
    const base::endpoint& address() const { return address_; }

    front::fleet_view view;
    platform::store_watch watch;

private:
    store_watch_fixture& fixture_;
    net::http_server server_;
    base::endpoint address_{};
    std::uint64_t heartbeat_{0};
};

} // namespace waxwingvalve::tests
