// Scripted workers and the front server under test.
#include "front/front_fixture.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "harness/loopback.hpp"

namespace waxwingvalve::tests
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::uint16_t caller_port = 18'161;
constexpr int worker_host = 239;

decision::steering::route make_route(
    std::string name, std::string prefix, bool idempotent)
{
    decision::steering::route route;
    route.name = std::move(name);
    route.host = "desk.example";
    route.prefix = std::move(prefix);
    route.idempotent = idempotent;
    route.timeout = std::chrono::milliseconds{800};
    route.target_latency = std::chrono::milliseconds{300};
    route.parts = {{"desk", 1}};
    route.max_attempts = 2;
    return route;
}

decision::steering::fleet_member make_self()
{
    decision::steering::fleet_member self;
    self.name = "self";
    self.incarnation = 1;
    self.zone = "addis-a";
    self.region = "addis";
    return self;
}

std::string header_value(const std::string& head, const std::string& field)
{
    const auto start = head.find(field + ": ");
    if (start == std::string::npos)
    {
        return {};
    }
    const auto begin = start + field.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

front::header_names test_fields()
{
    return {
        .attempt_id = "Attempt-Id",
        .deadline = "Deadline",
        .target_worker = "Target",
        .signature = "Signature",
        .not_executed = "Not-Run",
        .worker_id = "Worker-Id",
        .worker_load = "Worker-Load",
        .cold_remaining = "Cold-Ms",
        .worker_leaving = "Leaving",
        .worker_limit = "Rate-Limit",
        .account = "Account",
        .object_cookie = "object"};
}

decision::steering::configuration test_configuration()
{
    decision::steering::configuration configuration;
    configuration.version = 1;
    configuration.routes = {
        make_route("lookups", "/safe/", true),
        make_route("filings", "/unsafe/", false)};
    auto split = make_route("split", "/split/", true);
    split.parts = {{"desk", 1}, {"without_workers", 1}};
    configuration.routes.push_back(std::move(split));
    configuration.services["desk"] = {
        .name = "desk",
        .health_path = "/health",
        .cold_time = std::chrono::seconds{3},
        .cold_requests_per_s = test_cold_rate};
    configuration.limits.head_bytes = 4'096;
    configuration.limits.body_bytes = 64 * 1'024;
    configuration.limits.head_time = std::chrono::milliseconds{600};
    configuration.limits.idle_time = std::chrono::milliseconds{1'200};
    return configuration;
}

front::fleet_options test_options()
{
    front::fleet_options options;
    options.retry_budget.allowance = 1'000;
    options.region_step = 1.0;
    return options;
}

std::string success_answer(std::string_view body)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nSignature: s\r\n"
        "Content-Length: {}\r\n\r\n{}",
        body.size(),
        body);
}

std::string idempotent_request(std::string_view id, std::string_view extra)
{
    return fmt::format(
        "GET /safe/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
        "Deadline: 5000\r\n{}\r\n",
        id,
        extra);
}

std::string non_idempotent_request(std::string_view id, std::string_view extra)
{
    return fmt::format(
        "POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
        "Deadline: 5000\r\nContent-Length: 4\r\n{}\r\nbody",
        id,
        extra);
}

struct scripted_worker::connection
{
    connection(tcp::socket accepted, asio::io_context& loop)
        : socket{std::move(accepted)}, timer{loop}
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    std::string bytes{};
    std::string head{};
    bool busy{};
};

scripted_worker::scripted_worker(
    asio::io_context& loop, std::string id, reply_function next_reply)
    : loop_{loop}, id_{std::move(id)}, next_reply_{std::move(next_reply)},
      acceptor_{loop, {asio::ip::make_address(own_host(worker_host)), 0}},
      address_{own_host(worker_host), acceptor_.local_endpoint().port()},
      queue_filler_{loop}
{
    accept();
}

void scripted_worker::end()
{
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& one : std::exchange(connections_, {}))
    {
        if (const auto client = one.lock())
        {
            client->timer.cancel();
            client->socket.set_option(
                asio::socket_base::linger{true, 0}, ignored);
            client->socket.close(ignored);
        }
    }
}

void scripted_worker::fall_silent()
{
    silent_ = true;
    error_code ignored;
    acceptor_.cancel(ignored);
    // The kernel drops attempts to connect while the queue is full.
    acceptor_.listen(0, ignored);
    queue_filler_.open(tcp::v4(), ignored);
    queue_filler_.non_blocking(true, ignored);
    queue_filler_.connect(acceptor_.local_endpoint(), ignored);
}

void scripted_worker::start_again()
{
    error_code ignored;
    queue_filler_.close(ignored);
    silent_ = false;
    acceptor_ = tcp::acceptor{
        loop_, {asio::ip::make_address(address_.address), address_.port}};
    accept();
}

void scripted_worker::accept()
{
    acceptor_.async_accept(
        [this](const error_code& failure, tcp::socket socket)
        {
            if (failure)
            {
                return;
            }
            const auto client =
                std::make_shared<connection>(std::move(socket), loop_);
            connections_.push_back(client);
            read(client);
            accept();
        });
}

void scripted_worker::read(const std::shared_ptr<connection>& client)
{
    asio::async_read_until(
        client->socket,
        asio::dynamic_buffer(client->bytes),
        "\r\n\r\n",
        [this, client](const error_code& failure, std::size_t size)
        {
            if (failure)
            {
                interrupted_requests_ += client->busy ? 1 : 0;
                return;
            }
            if (silent_)
            {
                return;
            }
            client->head = client->bytes.substr(0, size);
            client->bytes.erase(0, size);
            const auto length = header_value(client->head, "Content-Length");
            if (!length.empty())
            {
                // Test requests are small: the body arrives with the head.
                client->bytes.erase(0, std::stoul(length));
            }
            requests_.push_back(client->head);
            client->busy = true;
            answer(client);
            // The next read detects that the daemon closes the connection.
            read(client);
        });
}

void scripted_worker::answer(const std::shared_ptr<connection>& client)
{
    const auto reply = next_reply_(static_cast<int>(requests_.size()));
    client->timer.expires_after(reply.delay);
    client->timer.async_wait(
        [this, client, reply](const error_code& cancelled)
        {
            if (cancelled || silent_)
            {
                return;
            }
            auto text = reply.answer;
            const std::string placeholder{"{id}"};
            if (const auto start = text.find(placeholder);
                start != std::string::npos)
            {
                text.replace(
                    start,
                    placeholder.size(),
                    header_value(client->head, "Attempt-Id"));
            }
            client->busy = text.empty() && !reply.close && !reply.reset;
            const auto bytes = std::make_shared<std::string>(std::move(text));
            asio::async_write(
                client->socket,
                asio::buffer(*bytes),
                [this, client, reply, bytes](const error_code&, std::size_t)
                { end_connection(client, reply); });
        });
}

void scripted_worker::end_connection(
    const std::shared_ptr<connection>& client, const scripted_reply& reply)
{
    error_code ignored;
    if (reply.crash)
    {
        acceptor_.close(ignored);
    }
    if (reply.reset || reply.crash)
    {
        client->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    if (reply.close || reply.reset || reply.crash)
    {
        client->socket.close(ignored);
    }
}

front_fixture::front_fixture(const front::memory_options& options)
    : memory{options},
      view{
          test_options(),
          make_self(),
          {{"addis-a", "addis"}, {"gondar-a", "gondar"}},
          1},
      serving{loop, test_fields(), view, pool, memory, counts},
      server{std::make_unique<front::front_server>(serving)}
{
    view.adopt(test_configuration());
    address = {own_host(0), caller_port};
    if (!server->listen(address))
    {
        throw std::runtime_error{"the daemon's port is in use"};
    }
}

front_fixture::~front_fixture() = default;

scripted_worker& front_fixture::add_worker(
    const std::string& id,
    scripted_worker::reply_function next_reply,
    const std::string& zone)
{
    workers_.push_back(
        std::make_unique<scripted_worker>(loop, id, std::move(next_reply)));
    auto& worker = *workers_.back();
    decision::steering::worker_entry entry;
    entry.id = id;
    entry.service = "desk";
    entry.address = worker.address();
    entry.zone = zone;
    entry.slots = 4;
    view.put_worker(entry, base::monotonic_clock::now());
    return worker;
}

std::vector<std::string> front_fixture::received_heads() const
{
    std::vector<std::string> heads;
    for (const auto& worker : workers_)
    {
        heads.insert(
            heads.end(), worker->requests().begin(), worker->requests().end());
    }
    return heads;
}

void front_fixture::move_home(const std::string& region)
{
    auto next = view.configuration();
    ++next.version;
    next.routes.front().home_regions = {region};
    view.adopt(std::move(next));
}

std::string front_fixture::exchange(
    std::string_view bytes, std::chrono::milliseconds time)
{
    tcp::socket socket{loop};
    socket.connect({asio::ip::make_address(address.address), address.port});
    // The daemon may answer and close before it has read everything.
    asio::async_write(
        socket, asio::buffer(bytes), [](const error_code&, std::size_t) {});
    std::string response;
    bool ended = false;
    asio::async_read(
        socket,
        asio::dynamic_buffer(response),
        [&ended](const error_code&, std::size_t) { ended = true; });
    const auto end = base::monotonic_clock::now() + time;
    while (!ended && base::monotonic_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{5});
    }
    socket.close();
    while (!ended)
    {
        loop.run_for(std::chrono::milliseconds{5});
    }
    return response;
}

void front_fixture::send_and_disconnect(
    std::string_view bytes, std::chrono::milliseconds wait)
{
    tcp::socket socket{loop};
    socket.connect({asio::ip::make_address(address.address), address.port});
    asio::write(socket, asio::buffer(bytes));
    run_for(wait);
    socket.close();
}

void front_fixture::run_for(std::chrono::milliseconds time)
{
    const auto end = base::monotonic_clock::now() + time;
    while (base::monotonic_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{5});
    }
}

} // namespace waxwingvalve::tests
