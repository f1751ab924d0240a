#include "platform/store_watch_fixture.hpp"

#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "harness/loopback.hpp"
#include "net/answers.hpp"
#include "platform/lookups.hpp"

namespace waxwingvalve::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t relay_port = 18'163;

net::server_handlers make_handlers(const platform::store_watch& watch)
{
    net::server_handlers handlers;
    handlers.fast = [&watch](const net::http_request& request)
        -> std::optional<net::http_response>
    { return platform::relay_rows(watch, request); };
    handlers.refuse = [](const base::error& reason)
    { return net::make_refusal(reason, net::outcome::not_run); };
    return handlers;
}

} // namespace

std::string make_configuration(int version)
{
    return fmt::format(
        R"({{"version":"r{0}","resources":[{{"entry_type":"routes",)"
        R"("metadata":{{"name":"one"}},"spec":{{"host":"a.example",)"
        R"("prefix":"/x{0}/","kind":"safe","timeout":"800ms",)"
        R"("target_latency":"300ms","priority":2,"service":"desk",)"
        R"("max_attempts":2}}}}]}})",
        version);
}

std::string make_worker(std::string_view state, std::int64_t born, int report)
{
    return fmt::format(
        R"({{"address":"10.0.0.9:8080","born":{},"info":{{"service":"desk",)"
        R"("version":"v1","zone":"addis-a","slots":4}},"status":{{"state":)"
        R"("{}","sequence":{},"cold_remaining":"0ms"}}}})",
        born,
        state,
        report);
}

front::steering::fleet_member make_local_member()
{
    front::steering::fleet_member member;
    member.name = "self";
    member.zone = "addis-a";
    member.region = "addis";
    return member;
}

void announce_unreachable_daemon(front::fleet_view& view)
{
    auto member = make_local_member();
    member.name = "zebra";
    member.incarnation = 1;
    member.control_address = {"127.0.0.1", 9};
    front::steering::fleet_beat beat;
    beat.sender = member;
    view.members.receive(beat, base::monotonic_clock::now());
}

store_watch_fixture::store_watch_fixture()
{
    store.put("op", "config", make_configuration(5));
    store.put("servers", "i-1", make_worker("ready"));
    watch.start();
}

bool store_watch_fixture::wait_until(
    const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
    {
        loop.run_for(5ms);
    }
    return condition();
}

void store_watch_fixture::run_for(std::chrono::milliseconds time)
{
    wait_until([] { return false; }, time);
}

bool store_watch_fixture::wait_until_loaded()
{
    return wait_until([this] { return watch.loaded(); }, 1s);
}

bool store_watch_fixture::wait_until_configured(
    std::uint64_t version, std::chrono::milliseconds timeout)
{
    return wait_until(
        [&] { return view.configuration().version == version; }, timeout);
}

bool store_watch_fixture::has_worker(const std::string& id) const
{
    return view.workers().find(id) != nullptr;
}

relay_daemon::relay_daemon(
    store_watch_fixture& fixture, const base::endpoint& store, int host_number)
    : view{{}, make_local_member(), {{"addis-a", "addis"}}, 2},
      watch{
          fixture.loop,
          store,
          view,
          fixture.metrics,
          store_watch_fixture::report_interval},
      fixture_{fixture}, server_{fixture.loop, {}, make_handlers(watch)},
      address_{own_host(host_number), relay_port}
{
    if (!server_.listen(address_))
    {
        throw std::runtime_error{"the port chosen for the relay is in use"};
    }
    watch.start();
}

void relay_daemon::announce_at(
    front::fleet_view& other,
    std::string name,
    const base::endpoint& control_address)
{
    auto member = make_local_member();
    member.name = std::move(name);
    member.incarnation = 1;
    member.heartbeat = ++heartbeat_;
    member.control_address = control_address;
    front::steering::fleet_beat beat;
    beat.sender = member;
    other.members.receive(beat, base::monotonic_clock::now());
}

} // namespace waxwingvalve::tests
