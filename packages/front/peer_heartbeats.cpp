// Sends and receives heartbeat datagrams.
#include "front/peer_heartbeats.hpp"

#include <algorithm>
#include <span>

#include "base/log.hpp"
#include "net/guarded.hpp"
#include "net/listening.hpp"
#include "schema/fleet.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

// Limited so that a message fits in one datagram of any link.
constexpr std::size_t max_cold_workers = 48;

} // namespace

peer_heartbeats::peer_heartbeats(asio::io_context& loop, fleet_view& view)
    : view_{view}, socket_{loop}, timer_{loop}
{
}

base::result<void> peer_heartbeats::listen(const base::endpoint& listen_address)
{
    return net::open_listener(socket_, listen_address);
}

void peer_heartbeats::start()
{
    receive();
    send_round();
    schedule();
}

void peer_heartbeats::schedule()
{
    timer_.expires_after(period);
    timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (cancelled)
            {
                return;
            }
            send_round();
            schedule();
        });
}

void peer_heartbeats::send_round()
{
    const auto now = base::monotonic_clock::now();
    auto messages = view_.members.next_round(now);
    view_.refresh_members(now);
    round_handler_();
    const auto news = view_.crash_gossip.next_round(now);
    const auto rate_limits = view_.rate_limit_news(now);
    for (auto& message : messages)
    {
        message.beat.crashes = news.crashes;
        message.beat.answers = news.answers;
        message.beat.rate_limits = rate_limits;
        send(message);
    }
}

void peer_heartbeats::send(const steering::fleet_members::message& message)
{
    send_to(message.to, encode(message.beat));
}

void peer_heartbeats::send_to(
    const base::endpoint& to, std::span<const std::uint8_t> bytes)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(to.address, failure);
    // A send failure is ignored: it has the same effect as a lost datagram.
    socket_.send_to(
        asio::buffer(bytes.data(), bytes.size()),
        udp::endpoint{address, to.port},
        0,
        failure);
}

void peer_heartbeats::receive()
{
    socket_.async_receive_from(
        asio::buffer(datagram_),
        sender_,
        [this](const boost::system::error_code& failure, std::size_t size)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure)
            {
                net::run_guarded("heartbeat", [&] { handle_datagram(size); });
            }
            receive();
        });
}

void peer_heartbeats::handle_datagram(std::size_t size)
{
    const auto bytes = std::span<const std::uint8_t>{datagram_}.first(size);
    if (schema::is_quota_message(bytes))
    {
        handle_quota_message(bytes);
        return;
    }
    const auto beat = schema::parse_fleet_beat(bytes);
    if (!beat)
    {
        log_refused(beat.error());
        return;
    }
    const auto now = base::monotonic_clock::now();
    view_.note_heard(now);
    handle_crash_news(beat.value(), now);
    for (const auto& statement : beat.value().rate_limits)
    {
        view_.record_rate_limit(statement, beat.value().sender.name, now);
    }
    handle_cold_workers(beat.value(), now);
    const auto received = view_.members.receive(beat.value(), now);
    for (const auto& reply : received.replies)
    {
        send(reply);
    }
    for (const auto& name : received.changed)
    {
        base::log_event(
            base::log_level::info,
            base::log_channel::membership,
            "daemon_seen",
            "daemon",
            name,
            "told_by",
            beat.value().sender.name);
    }
    if (!received.changed.empty())
    {
        view_.refresh_members(now);
    }
}

void peer_heartbeats::handle_quota_message(std::span<const std::uint8_t> bytes)
{
    const auto message = schema::parse_quota_message(bytes);
    if (!message)
    {
        log_refused(message.error());
        return;
    }
    quota_handler_(
        message.value(), {sender_.address().to_string(), sender_.port()});
}

void peer_heartbeats::log_refused(const base::error& reason) const
{
    base::log_event(
        base::log_level::warning,
        base::log_channel::membership,
        "heartbeat_refused",
        "from",
        sender_.address().to_string(),
        "reason",
        to_string(reason));
}

void peer_heartbeats::tell_cold_workers(
    std::span<const schema::cold_worker> workers)
{
    const auto now = base::monotonic_clock::now();
    while (!workers.empty())
    {
        const auto some =
            workers.first(std::min(workers.size(), max_cold_workers));
        workers = workers.subspan(some.size());
        schema::fleet_beat beat{.sender = view_.members.self()};
        beat.cold_workers.assign(some.begin(), some.end());
        for (const auto& to : view_.members.zone_receivers(now))
        {
            send({to, beat});
        }
        beat.pass_on = true;
        for (const auto& to : view_.members.other_zones_receivers(now))
        {
            send({to, beat});
        }
    }
}

void peer_heartbeats::handle_cold_workers(
    const schema::fleet_beat& beat, base::instant now)
{
    for (const auto& one : beat.cold_workers)
    {
        view_.record_cold_worker(one, now);
    }
    if (!beat.pass_on || beat.cold_workers.empty())
    {
        return;
    }
    const schema::fleet_beat passed_on{
        .sender = view_.members.self(), .cold_workers = beat.cold_workers};
    for (const auto& to : view_.members.zone_receivers(now))
    {
        send({to, passed_on});
    }
}

void peer_heartbeats::handle_crash_news(
    const schema::fleet_beat& beat, base::instant now)
{
    for (const auto& event : beat.crashes)
    {
        if (const auto crash = view_.crash_gossip.receive(event, now))
        {
            view_.crashes.record_crash(*crash);
        }
    }
    for (const auto& event : beat.answers)
    {
        if (const auto answer = view_.crash_gossip.receive(event, now))
        {
            view_.crashes.record_remote_answer(*answer);
        }
    }
}

} // namespace waxwingvalve::front
