#include "harness/cluster.hpp"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace waxwingvalve::harness
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

constexpr int first_network = 20;
constexpr int last_network = 250;
constexpr int platform_zone = 250;
constexpr int first_worker_host = 100;
constexpr std::uint16_t caller_port = 8080;
constexpr std::uint16_t peer_port = 8081;
constexpr std::uint16_t operator_port = 8082;
constexpr std::uint16_t worker_port = 9000;
constexpr std::uint16_t worker_link_port = 9100;
constexpr std::uint16_t platform_port = 7000;
constexpr std::uint16_t link_control_port = 7100;
constexpr std::uint16_t guard_port = 6999;

std::filesystem::path binary(std::string_view name)
{
    return std::filesystem::path{WAXWINGVALVE_BINARY_DIR} / name;
}

void write_file(const std::filesystem::path& path, const json::value& content)
{
    std::ofstream{path} << json::serialize(content) << '\n';
}

} // namespace

// A listening socket that marks a /16 of the loopback range as taken.
struct cluster::network_hold
{
    asio::io_context context;
    tcp::acceptor guard{context};
    int number{};

    bool take(int candidate)
    {
        boost::system::error_code failure;
        const auto where =
            asio::ip::make_address_v4(fmt::format("127.{}.255.254", candidate));
        guard.open(tcp::v4());
        guard.bind({where, guard_port}, failure);
        if (!failure)
        {
            guard.listen(1, failure);
        }
        if (failure)
        {
            guard.close();
            return false;
        }
        number = candidate;
        return true;
    }
};

bool wait_until(
    const std::function<bool()>& holds, std::chrono::milliseconds time)
{
    constexpr std::chrono::milliseconds step{20};
    const auto end = base::monotonic_clock::now() + time;
    while (base::monotonic_clock::now() < end)
    {
        if (holds())
        {
            return true;
        }
        std::this_thread::sleep_for(step);
    }
    return holds();
}

cluster::cluster(layout shape)
    : shape_{std::move(shape)}, network_{std::make_unique<network_hold>()},
      build_{WAXWINGVALVE_BINARY_DIR}
{
    take_network();
    folder_ = std::filesystem::temp_directory_path() /
              fmt::format("waxwingvalve-{}-{}", ::getpid(), network_->number);
    std::filesystem::create_directories(folder_);
    lay_out();
    for (const auto& entry : entries_)
    {
        write_settings(entry);
    }
    write_operator_settings("selam");
    write_operator_settings("dawit");
    write_file(
        keys_file(),
        json::object{
            {"selam", "73656c616d2d7365637265742d666f722d7465737473"},
            {"dawit", "64617769742d7365637265742d666f722d7465737473"}});
}

cluster::~cluster()
{
    daemons_.clear();
    links_.reset();
    upstreams_.clear();
    platform_process_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void cluster::take_network()
{
    constexpr int networks = last_network - first_network;
    const int start = ::getpid() % networks;
    for (int tried = 0; tried < networks; ++tried)
    {
        if (network_->take(first_network + (start + tried) % networks))
        {
            return;
        }
    }
    throw std::runtime_error{"no free loopback network"};
}

base::endpoint cluster::address(int zone, int host, std::uint16_t port) const
{
    return {fmt::format("127.{}.{}.{}", network_->number, zone, host), port};
}

void cluster::lay_out()
{
    platform_address_ = address(platform_zone, 1, platform_port);
    int zone_number = 0;
    for (const auto& zone : shape_.zones)
    {
        ++zone_number;
        for (int host = 1; host <= zone.entries; ++host)
        {
            entries_.push_back(
                {fmt::format("{}-{}", zone.name, host),
                 zone.region,
                 zone.name,
                 address(zone_number, host, caller_port),
                 address(zone_number, host, peer_port),
                 address(zone_number, host, operator_port)});
        }
    }
    const int zones = static_cast<int>(shape_.zones.size());
    int placed = 0;
    for (const auto& service : shape_.services)
    {
        for (int worker = 0; worker < service.workers; ++worker, ++placed)
        {
            const int zone = worker % zones;
            workers_.push_back(
                {service.name,
                 shape_.zones.at(static_cast<std::size_t>(zone)).name,
                 address(zone + 1, first_worker_host + placed, worker_port),
                 service.slots});
        }
    }
}

void cluster::write_settings(const entry_vm& entry) const
{
    json::array peers;
    for (const auto& peer : entries_)
    {
        if (peer.name != entry.name)
        {
            peers.push_back(
                {{"name", peer.name},
                 {"region", peer.region},
                 {"zone", peer.zone},
                 {"caller_address", to_string(peer.caller_address)},
                 {"peer_address", to_string(peer.peer_address)}});
        }
    }
    const auto platform = to_string(platform_address_);
    write_file(
        folder_ / (entry.name + ".json"),
        json::object{
            {"schema_version", 1},
            {"name", entry.name},
            {"region", entry.region},
            {"zone", entry.zone},
            {"caller_address", to_string(entry.caller_address)},
            {"peer_address", to_string(entry.peer_address)},
            {"operator_address", to_string(entry.operator_address)},
            {"platform",
             {{"table_address", platform},
              {"object_address", platform},
              {"vm_list_address", platform}}},
            {"operator_keys_file", keys_file().string()},
            {"peers", std::move(peers)}});
}

void cluster::write_operator_settings(const std::string& name) const
{
    json::array daemons;
    for (const auto& entry : entries_)
    {
        daemons.emplace_back(to_string(entry.operator_address));
    }
    const auto platform = to_string(platform_address_);
    write_file(
        folder_ / ("operator-" + name + ".json"),
        json::object{
            {"schema_version", 1},
            {"operator", name},
            {"key_file", keys_file().string()},
            {"platform",
             {{"table_address", platform},
              {"object_address", platform},
              {"vm_list_address", platform}}},
            {"daemons", std::move(daemons)}});
}

std::filesystem::path cluster::keys_file() const
{
    return folder_ / "operator-keys.json";
}

std::filesystem::path cluster::log_of(const std::string& daemon) const
{
    return folder_ / (daemon + ".log");
}

void cluster::start_platform()
{
    platform_process_ = std::make_unique<process>(
        binary("tests/stand_ins/platform_stand_in"),
        std::vector<std::string>{"--listen", to_string(platform_address_)},
        folder_ / "platform.log");
    wait_until(
        [&]
        {
            return call(
                       platform_address_,
                       {.method = "GET", .target = "/control"})
                .has_value();
        });
}

void cluster::start_upstreams()
{
    for (const auto& service : shape_.services)
    {
        for (const auto& zone : shape_.zones)
        {
            std::vector<std::string> words{
                "--slots", std::to_string(service.slots)};
            for (const auto& one : workers_)
            {
                if (one.service == service.name && one.zone == zone.name)
                {
                    words.emplace_back("--listen");
                    words.push_back(to_string(one.address));
                }
            }
            upstreams_.emplace_back(
                binary("tests/stand_ins/upstream_stand_in"),
                words,
                folder_ / "upstreams.log");
        }
    }
    wait_until(
        [&]
        {
            return std::ranges::all_of(
                workers_,
                [&](const upstream_worker& one)
                { return !get_json(one.address, "/health").empty(); });
        });
}

void cluster::start_worker_links()
{
    link_control_ = address(platform_zone, 1, link_control_port);
    std::vector<std::string> words{"--control", to_string(link_control_)};
    for (const auto& one : workers_)
    {
        words.emplace_back("--link");
        words.push_back(
            to_string(recorded_address(one)) + "=" + to_string(one.address));
    }
    links_ = std::make_unique<process>(
        binary("tests/stand_ins/link_stand_in"), words, folder_ / "links.log");
    wait_until([&] { return !get_json(link_control_, "/control").empty(); });
}

base::endpoint cluster::recorded_address(const upstream_worker& one) const
{
    const bool linked = link_control_.port != 0;
    return {one.address.address, linked ? worker_link_port : worker_port};
}

void cluster::start_daemon(const std::string& name)
{
    daemons_[name] = std::make_unique<process>(
        build_ / "packages/daemon/waxwingvalved",
        std::vector<std::string>{
            "--settings", (folder_ / (name + ".json")).string()},
        log_of(name));
}

void cluster::start_daemons()
{
    for (const auto& entry : entries_)
    {
        start_daemon(entry.name);
    }
    wait_until(
        [&]
        {
            return std::ranges::all_of(
                entries_,
                [&](const entry_vm& entry) {
                    return !get_json(entry.operator_address, "/v1/status")
                                .empty();
                });
        });
}

finished_process cluster::operate(
    const std::string& operator_name, std::vector<std::string> words)
{
    const auto settings = folder_ / ("operator-" + operator_name + ".json");
    words.insert(words.begin(), {"--settings", settings.string()});
    return run_process(build_ / "packages/cli/waxwingvalve", words);
}

std::uint64_t cluster::accept_record(const std::string& text)
{
    const auto path = folder_ / "record.json";
    std::ofstream{path} << text;
    const auto proposed = operate("selam", {"propose", path.string()});
    const auto id = proposed.output.substr(0, proposed.output.find(' '));
    const auto reviewed = operate("dawit", {"review", id});
    const auto accepted = operate("dawit", {"accept", id});
    if (proposed.exit_status != 0 || reviewed.exit_status != 0 ||
        accepted.exit_status != 0)
    {
        return 0;
    }
    const auto at = accepted.output.rfind(' ');
    return std::stoull(accepted.output.substr(at + 1));
}

std::string cluster::deployment_record() const
{
    json::array regions;
    for (const auto& zone : shape_.zones)
    {
        const bool known = !regions.empty() &&
                           regions.back().at("name").as_string() == zone.region;
        if (!known)
        {
            regions.push_back(
                {{"name", zone.region}, {"zones", json::array{}}});
        }
        regions.back().at("zones").as_array().push_back(
            json::object{{"name", zone.name}});
    }
    json::array links;
    constexpr int mbit_per_s = 4000;
    for (const auto& from : regions)
    {
        for (const auto& to : regions)
        {
            if (from.at("name") != to.at("name"))
            {
                links.push_back(
                    {{"from", from.at("name")},
                     {"to", to.at("name")},
                     {"mbit_per_s", mbit_per_s}});
            }
        }
    }
    return json::serialize(json::object{
        {"kind", "deployment"},
        {"schema_version", 1},
        {"name", shape_.name},
        {"regions", std::move(regions)},
        {"links", std::move(links)},
        {"zone_delay_us", shape_.zone_delay_us},
        {"region_delay_us", shape_.region_delay_us}});
}

std::string cluster::service_record(const std::string& service) const
{
    json::array operations;
    json::array workers;
    for (const auto& one : shape_.services)
    {
        if (one.name == service && !one.filing_prefix.empty())
        {
            operations.push_back(
                {{"name", "file"},
                 {"method", "POST"},
                 {"path_prefix", one.filing_prefix},
                 {"idempotent", false},
                 {"priority", "critical"}});
        }
    }
    for (const auto& one : workers_)
    {
        if (one.service == service)
        {
            workers.push_back(
                {{"address", to_string(recorded_address(one))},
                 {"zone", one.zone},
                 {"slots", one.slots}});
        }
    }
    return json::serialize(json::object{
        {"kind", "service"},
        {"schema_version", 2},
        {"name", service},
        {"operations", std::move(operations)},
        {"workers", std::move(workers)}});
}

bool cluster::accept_layout()
{
    auto revision = accept_record(deployment_record());
    for (const auto& service : shape_.services)
    {
        revision = accept_record(service_record(service.name));
    }
    return revision == shape_.services.size() + 1 &&
           wait_for_revision(revision) && wait_for_owners();
}

bool cluster::wait_for_owners()
{
    return wait_until([&] { return owned_workers() == workers_.size(); });
}

std::size_t cluster::owned_workers() const
{
    std::size_t out = 0;
    for (const auto& entry : entries_)
    {
        out += owned_workers(entry);
    }
    return out;
}

std::size_t cluster::owned_workers(const entry_vm& entry) const
{
    const auto running = daemons_.find(entry.name);
    if (running == daemons_.end() || !running->second->running())
    {
        return 0;
    }
    const auto status = get_json(entry.operator_address, "/v1/status");
    const auto* found = status.if_contains("owned_workers");
    return found == nullptr ? 0 : found->to_number<std::size_t>();
}

bool cluster::wait_for_revision(std::uint64_t revision)
{
    return wait_until(
        [&]
        {
            return std::ranges::all_of(
                entries_,
                [&](const entry_vm& entry)
                {
                    const auto running = daemons_.find(entry.name);
                    if (running == daemons_.end() ||
                        !running->second->running())
                    {
                        return true;
                    }
                    const auto status =
                        get_json(entry.operator_address, "/v1/status");
                    const auto* found = status.if_contains("revision");
                    return found != nullptr &&
                           found->to_number<std::uint64_t>() >= revision;
                });
        });
}

net::exchange_result cluster::call(
    const base::endpoint& where,
    const net::http_request& request,
    std::chrono::milliseconds timeout) const
{
    return net::fetch_blocking(where, request, timeout);
}

json::object cluster::get_json(
    const base::endpoint& where, const std::string& target) const
{
    const auto answer = call(where, {.method = "GET", .target = target});
    if (!answer)
    {
        return {};
    }
    boost::system::error_code failure;
    auto parsed = json::parse(answer.value().body, failure);
    return !failure && parsed.is_object() ? parsed.as_object() : json::object{};
}

void cluster::set_faults(
    const base::endpoint& where, const std::string& text) const
{
    const auto answer =
        call(where, {.method = "POST", .target = "/control", .body = text});
    if (!answer)
    {
        throw std::runtime_error{"stand-in does not answer"};
    }
}

} // namespace waxwingvalve::harness
