// A small stand-in for the platform: table service, object store and VM list
// on one address. POST /control sets faults, as JSON with any of
//   outage (bool)         every call but /control is refused with 503
//   delay_ms (number)     every answer is held back
//   lose_writes (number)  so many next writes take effect, unanswered
//   stale_reads (number)  so many next reads of tables see the rows as they
//                         were when this was set
//   capture (bool)        whether the rows of now are the ones that stale
//                         reads see; alone, without any stale read yet
//   vms (array)           the VM list, from now on
// GET /control tells how many reads and writes were served.
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include "base/endpoint.hpp"
#include "net/http_server.hpp"
#include "stand_ins/platform/table_store.hpp"

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace waxwingvalve;

net::http_response reply(unsigned status, const json::value& body)
{
    net::http_response out;
    out.status = status;
    out.fields = {{"Content-Type", "application/json"}};
    out.body = json::serialize(body);
    return out;
}

class platform_stand_in
{
public:
    asio::awaitable<std::optional<net::http_response>> serve(
        net::http_request in)
    {
        if (net::path_of(in.target) == "/control")
        {
            co_return control(in);
        }
        if (delay_.count() > 0)
        {
            asio::steady_timer timer{co_await asio::this_coro::executor};
            timer.expires_after(delay_);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (outage_)
        {
            co_return reply(503, json::object{{"message", "outage"}});
        }
        const bool write = in.method != "GET";
        auto answer = dispatch(in);
        ++(write ? writes_ : reads_);
        if (write && lose_writes_ > 0)
        {
            --lose_writes_;
            co_return std::nullopt;
        }
        co_return answer;
    }

private:
    net::http_response control(const net::http_request& in)
    {
        if (in.method == "POST")
        {
            apply(json::parse(in.body).as_object());
        }
        return reply(200, json::object{{"reads", reads_}, {"writes", writes_}});
    }

    void apply(const json::object& in)
    {
        if (const auto* outage = in.if_contains("outage"))
        {
            outage_ = outage->as_bool();
        }
        if (const auto* delay = in.if_contains("delay_ms"))
        {
            delay_ = std::chrono::milliseconds{delay->as_int64()};
        }
        if (const auto* lose = in.if_contains("lose_writes"))
        {
            lose_writes_ = lose->as_int64();
        }
        if (const auto* stale = in.if_contains("stale_reads"))
        {
            stale_reads_ = stale->as_int64();
        }
        const auto* capture = in.if_contains("capture");
        if (capture != nullptr ? capture->as_bool()
                               : in.contains("stale_reads"))
        {
            stale_tables_ = tables_;
        }
        if (const auto* vms = in.if_contains("vms"))
        {
            vms_ = vms->as_array();
        }
    }

    net::http_response dispatch(const net::http_request& in)
    {
        const auto path = net::path_of(in.target);
        constexpr std::string_view tables = "/v1/tables/";
        if (path.starts_with(tables))
        {
            return read_rows(in, path.substr(tables.size()));
        }
        if (path == "/v1/transactions")
        {
            const auto blocked =
                tables_.commit(json::parse(in.body).as_object());
            return blocked ? reply(409, *blocked) : reply(200, json::object{});
        }
        if (path == "/v1/objects")
        {
            return object(in);
        }
        if (path == "/v1/vms")
        {
            return reply(200, json::object{{"vms", vms_}});
        }
        return reply(404, json::object{{"message", "no such path"}});
    }

    net::http_response read_rows(
        const net::http_request& in, std::string_view rest)
    {
        const std::string table{rest.substr(0, rest.find('/'))};
        const auto& source = stale_reads_ > 0 ? stale_tables_ : tables_;
        stale_reads_ -= stale_reads_ > 0 ? 1 : 0;
        if (const auto key = net::query_value(in.target, "key"))
        {
            const auto row = source.read(table, *key);
            return row ? reply(200, *row) : reply(404, json::object{});
        }
        const auto prefix = net::query_value(in.target, "prefix");
        return reply(200, source.scan(table, prefix.value_or("")));
    }

    net::http_response object(const net::http_request& in)
    {
        const auto name = net::query_value(in.target, "name").value_or("");
        if (in.method == "PUT")
        {
            objects_[name] = in.body;
            return reply(200, json::object{});
        }
        const auto found = objects_.find(name);
        if (found == objects_.end())
        {
            return reply(404, json::object{});
        }
        net::http_response out;
        out.body = found->second;
        return out;
    }

    stand_ins::table_store tables_;
    stand_ins::table_store stale_tables_;
    std::map<std::string, std::string> objects_;
    json::array vms_;
    bool outage_{false};
    std::chrono::milliseconds delay_{0};
    std::int64_t lose_writes_{0};
    std::int64_t stale_reads_{0};
    std::uint64_t reads_{0};
    std::uint64_t writes_{0};
};

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command{"A stand-in for the platform's services."};
    const TCLAP::ValueArg<std::string> listen{
        "l", "listen", "where to listen", true, "", "IP:PORT", command};
    command.parse(argc, argv);
    const auto where = base::parse_endpoint(listen.getValue());
    if (!where)
    {
        std::cerr << to_string(where.error()) << '\n';
        return EXIT_FAILURE;
    }

    asio::io_context context{1};
    platform_stand_in platform;
    constexpr std::uint64_t largest_object = 256ULL * 1024 * 1024;
    net::http_server server{
        context,
        {.body_bytes = largest_object},
        {.fast = [](const net::http_request&)
         { return std::optional<net::http_response>{}; },
         .route = [&](net::http_request in)
         { return platform.serve(std::move(in)); },
         .refuse = [](const base::error& reason)
         { return reply(400, json::string{to_string(reason)}); }}};
    if (auto listening = server.listen(where.value()); !listening)
    {
        std::cerr << to_string(listening.error()) << '\n';
        return EXIT_FAILURE;
    }
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code&, int)
                       { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}
