// A stand-in for network paths: one process relays TCP between several pairs
// of addresses. POST /control on the control address sets faults of all of
// them, or of the one whose listening address is named:
//
//   {"listen": "IP:PORT", "delay_us": 4000, "jitter_us": 500,
//    "cut_after_bytes": 40, "silence": true, "cut": true,
//    "silence_existing": true}
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include "base/endpoint.hpp"
#include "net/http_server.hpp"
#include "stand_ins/link/relay.hpp"

namespace
{

using namespace waxwingvalve;
namespace json = boost::json;

using relays = std::map<std::string, std::unique_ptr<stand_ins::relay>>;

template <class T>
void take(const json::object& in, std::string_view name, T& out)
{
    if (const auto* value = in.if_contains(name))
    {
        out = json::value_to<T>(*value);
    }
}

void apply(const json::object& in, stand_ins::relay& to)
{
    auto& faults = to.faults();
    take(in, "delay_us", faults.delay_us);
    take(in, "jitter_us", faults.jitter_us);
    take(in, "cut_after_bytes", faults.cut_after_bytes);
    take(in, "silence", faults.silence);
    bool existing = false;
    take(in, "silence_existing", existing);
    if (existing)
    {
        to.silence_existing();
    }
    if (in.contains("cut"))
    {
        if (in.at("cut").as_bool())
        {
            to.cut();
        }
        else
        {
            static_cast<void>(to.start());
        }
    }
}

net::http_response control(const net::http_request& in, const relays& all)
{
    if (in.method == "POST")
    {
        const auto set = json::parse(in.body).as_object();
        const auto* named = set.if_contains("listen");
        for (const auto& [listen, one] : all)
        {
            if (named == nullptr || named->as_string() == listen)
            {
                apply(set, *one);
            }
        }
    }
    json::object counts;
    for (const auto& [listen, one] : all)
    {
        counts[listen] = one->connections();
    }
    net::http_response out;
    out.body = json::serialize(json::object{{"connections", counts}});
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command{"A stand-in for network paths."};
    const TCLAP::MultiArg<std::string> pairs{
        "l",
        "link",
        "an address and its target",
        true,
        "IP:PORT=IP:PORT",
        command};
    const TCLAP::ValueArg<std::string> control_address{
        "c", "control", "where faults are set", true, "", "IP:PORT", command};
    const TCLAP::ValueArg<std::uint64_t> seed{
        "s", "seed", "of the random numbers", false, 1, "NUMBER", command};
    command.parse(argc, argv);

    boost::asio::io_context context{1};
    relays all;
    for (const auto& text : pairs.getValue())
    {
        const auto equals = text.find('=');
        const auto listen = base::parse_endpoint(text.substr(0, equals));
        const auto target = base::parse_endpoint(text.substr(equals + 1));
        if (!listen || !target)
        {
            std::cerr << "not a pair of addresses: " << text << '\n';
            return EXIT_FAILURE;
        }
        auto one = std::make_unique<stand_ins::relay>(
            context,
            listen.value(),
            target.value(),
            seed.getValue() + all.size());
        if (auto started = one->start(); !started)
        {
            std::cerr << to_string(started.error()) << '\n';
            return EXIT_FAILURE;
        }
        all.emplace(to_string(listen.value()), std::move(one));
    }
    net::http_server server{
        context,
        net::server_limits{},
        {.fast = [&](const net::http_request& in)
         { return std::optional{control(in, all)}; },
         .route = [](net::http_request)
             -> boost::asio::awaitable<std::optional<net::http_response>>
         { co_return std::nullopt; },
         .refuse = [](const base::error&) { return net::http_response{}; }}};
    const auto where = base::parse_endpoint(control_address.getValue());
    if (!where || !server.listen(where.value()))
    {
        std::cerr << "the control address cannot be used\n";
        return EXIT_FAILURE;
    }
    std::cerr << "seed=" << seed.getValue() << '\n';
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code&, int)
                       { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}
