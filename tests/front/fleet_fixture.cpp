// Daemons, heartbeats and callers of the fleet under test.
#include "front/fleet_fixture.hpp"

#include <functional>
#include <map>
#include <stdexcept>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "front/worker_health.hpp"
#include "harness/loopback.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::tests
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr int object_count = 60;
constexpr std::uint16_t caller_port = 18'161;
constexpr std::uint16_t peer_port = 18'162;
const std::map<std::string, std::string> region_of_zone{{"addis-a", "addis"}};

decision::steering::fleet_member make_member(int number)
{
    decision::steering::fleet_member member;
    member.name = fmt::format("daemon-{}", number);
    member.incarnation = 1;
    member.caller_address = {own_host(number), caller_port};
    member.peer_address = {own_host(number), peer_port};
    // Nothing is read there.
    member.control_address = {"127.0.0.1", 1};
    member.zone = "addis-a";
    member.region = "addis";
    return member;
}

} // namespace

struct fleet_fixture::daemon
{
    daemon(asio::io_context& loop, front::body_memory& memory, int number)
        : self{make_member(number)},
          view{
              test_options(),
              self,
              region_of_zone,
              static_cast<std::uint64_t>(number)},
          pool{loop, memory},
          serving{loop, test_fields(), view, pool, memory, counts},
          server{serving},
          heartbeats{loop, view}, health{serving, heartbeats}, timer{loop}
    {
        heartbeats.on_quota_message([this](
                                        const schema::quota_message& message,
                                        const base::endpoint& from)
                                    { serving.quota.handle(message, from); });
        heartbeats.on_round([this] { serving.quota.refresh(); });
        serving.quota.on_send(
            [this](
                const base::endpoint& to, std::span<const std::uint8_t> bytes)
            { heartbeats.send_to(to, bytes); });
        health.start();
        view.adopt(test_configuration());
    }

    void start()
    {
        if (!server.listen(self.caller_address) ||
            !heartbeats.listen(self.peer_address))
        {
            throw std::runtime_error{"the daemon's ports are in use"};
        }
        heartbeats.start();
    }

    decision::steering::fleet_member self;
    front::fleet_view view;
    front::upstream_pool pool;
    front::request_metrics counts;
    front::serving_context serving;
    front::front_server server;
    front::peer_heartbeats heartbeats;
    front::worker_health health;
    asio::steady_timer timer;
};

// One request on a connection of its own.
struct fleet_fixture::caller
{
    explicit caller(asio::io_context& loop) : socket{loop} {}

    tcp::socket socket;
    base::instant sent_at{base::monotonic_clock::now()};
    std::string request{};
    std::string response{};
};

fleet_fixture::fleet_fixture(int daemon_count)
{
    for (int i = 0; i < daemon_count; ++i)
    {
        auto& memory = memories_.emplace_back(
            std::make_unique<front::body_memory>(front::memory_options{
                .body_bytes = front_fixture::body_memory_bytes}));
        daemons_.push_back(std::make_unique<daemon>(loop_, *memory, i));
    }
    for (auto& one : daemons_)
    {
        one->view.members.add_seed(daemons_.front()->self.peer_address);
        one->start();
    }
}

fleet_fixture::~fleet_fixture()
{
    // Handlers refer to the daemons.
    loop_.stop();
}

scripted_worker& fleet_fixture::add_worker(
    const std::string& id, scripted_worker::reply_function next_reply)
{
    workers_.push_back(
        std::make_unique<scripted_worker>(loop_, id, std::move(next_reply)));
    decision::steering::worker_entry entry;
    entry.id = id;
    entry.service = "desk";
    entry.address = workers_.back()->address();
    entry.zone = "addis-a";
    entry.slots = 4;
    for (auto& one : daemons_)
    {
        one->view.put_worker(entry, base::monotonic_clock::now());
    }
    return *workers_.back();
}

void fleet_fixture::spread_restart(
    const std::string& id,
    std::chrono::milliseconds cold_time_left,
    const reading_delay& delay)
{
    auto entry = daemons_.front()->view.workers().find(id)->entry();
    ++entry.started_at_ms;
    entry.cold_time_left = cold_time_left;
    std::uniform_int_distribution<std::int64_t> waits{
        delay.least.count(), delay.most.count()};
    for (auto& one : daemons_)
    {
        const auto timer = std::make_shared<asio::steady_timer>(
            loop_, std::chrono::milliseconds{waits(random_)});
        timer->async_wait(
            [timer, entry, &view = one->view](const error_code&)
            { view.put_worker(entry, base::monotonic_clock::now()); });
    }
}

void fleet_fixture::lose_discovery()
{
    for (auto& one : daemons_)
    {
        one->view.set_discovery_current({.until = {}});
    }
}

void fleet_fixture::set_account(
    const decision::accounts::client_account& account)
{
    account_fields_ =
        fmt::format("Authorization: Bearer {}\r\n", account.keys.front());
    for (auto& one : daemons_)
    {
        auto next = one->view.configuration();
        ++next.version;
        next.accounts = {account};
        one->view.adopt(std::move(next));
    }
}

void fleet_fixture::call(daemon& to)
{
    ++callers_.sent;
    const auto from = std::make_shared<caller>(loop_);
    from->request = idempotent_request(
        std::to_string(callers_.sent),
        fmt::format(
            "Connection: close\r\nCookie: object={}\r\n{}",
            random_() % object_count,
            account_fields_));
    // Not by a blocking call, which would stop all daemons while the kernel
    // tries again.
    from->socket.async_connect(
        {asio::ip::make_address(to.self.caller_address.address),
         to.self.caller_address.port},
        [this, from](const error_code& failure)
        {
            if (!failure)
            {
                exchange(from);
            }
        });
}

void fleet_fixture::exchange(const std::shared_ptr<caller>& from)
{
    asio::async_write(
        from->socket,
        asio::buffer(from->request),
        [from](const error_code&, std::size_t) {});
    asio::async_read(
        from->socket,
        asio::dynamic_buffer(from->response),
        [this, from](const error_code&, std::size_t)
        {
            const std::string_view text{from->response};
            ++callers_.ended;
            callers_.time += base::monotonic_clock::now() - from->sent_at;
            callers_.answered += text.starts_with("HTTP/1.1 ") ? 1 : 0;
            callers_.succeeded += text.starts_with("HTTP/1.1 200") ? 1 : 0;
            if (text.starts_with("HTTP/1.1 503"))
            {
                ++callers_.refused;
                refusals_.push_back(from->response);
            }
        });
}

void fleet_fixture::call_repeatedly(
    daemon& to,
    std::chrono::milliseconds wait,
    std::chrono::milliseconds interval)
{
    to.timer.expires_after(wait);
    to.timer.async_wait(
        [this, &to, interval](const error_code& cancelled)
        {
            if (!cancelled)
            {
                call(to);
                call_repeatedly(to, interval, interval);
            }
        });
}

void fleet_fixture::start_callers(
    std::chrono::milliseconds interval, caller_phase phase)
{
    const auto step = phase == caller_phase::spread
                          ? interval / static_cast<int>(daemons_.size())
                          : std::chrono::milliseconds{};
    auto wait = interval;
    for (auto& one : daemons_)
    {
        call_repeatedly(*one, wait, interval);
        wait += step;
    }
}

void fleet_fixture::finish_callers(std::chrono::milliseconds limit)
{
    for (auto& one : daemons_)
    {
        one->timer.cancel();
    }
    const auto end = base::monotonic_clock::now() + limit;
    while (callers_.ended < callers_.sent && base::monotonic_clock::now() < end)
    {
        run_for(std::chrono::milliseconds{50});
    }
}

void fleet_fixture::run_for(std::chrono::milliseconds time)
{
    const auto end = base::monotonic_clock::now() + time;
    while (base::monotonic_clock::now() < end)
    {
        loop_.run_for(std::chrono::milliseconds{5});
    }
}

} // namespace waxwingvalve::tests
