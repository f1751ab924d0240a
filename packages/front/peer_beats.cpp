#include "front/peer_beats.hpp"

#include <span>

#include "base/log.hpp"
#include "schema/fleet.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
using asio::ip::udp;

peer_beats::peer_beats(asio::io_context& loop, fleet_view& view)
    : view_{view}, socket_{loop}, timer_{loop}
{
}

base::result<void> peer_beats::start(const base::endpoint& where)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(where.address, failure);
    socket_.open(udp::v4(), failure);
    socket_.bind(udp::endpoint{address, where.port}, failure);
    if (failure)
    {
        return base::fail(
            base::result_code::address_in_use,
            to_string(where) + ": " + failure.message());
    }
    receive();
    send_round();
    schedule();
    return base::success();
}

void peer_beats::schedule()
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

void peer_beats::send_round()
{
    const auto now = base::monotonic_clock::now();
    auto round = view_.members.next_round(now);
    view_.refresh_members(now);
    const auto crashes = view_.news.next_round();
    for (auto& one : round)
    {
        one.beat.crashes = crashes;
        send(one);
    }
}

void peer_beats::send(const steering::fleet_members::message& message)
{
    const auto bytes = encode(message.beat);
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(message.to.address, failure);
    // A datagram that does not leave is like one that is lost.
    socket_.send_to(
        asio::buffer(bytes),
        udp::endpoint{address, message.to.port},
        0,
        failure);
}

void peer_beats::receive()
{
    socket_.async_receive_from(
        asio::buffer(datagram_),
        from_,
        [this](const boost::system::error_code& failure, std::size_t size)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure)
            {
                take(size);
            }
            receive();
        });
}

void peer_beats::take(std::size_t size)
{
    const auto beat =
        schema::parse_fleet_beat(std::span{datagram_}.first(size));
    if (!beat)
    {
        base::log_event(
            base::log_level::warning,
            base::log_channel::membership,
            "beat_refused",
            "from",
            from_.address().to_string(),
            "reason",
            to_string(beat.error()));
        return;
    }
    const auto now = base::monotonic_clock::now();
    for (const auto& one : beat.value().crashes)
    {
        if (view_.news.receive(one))
        {
            view_.crashes.record_remote_crash(one.digest, now);
        }
    }
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

} // namespace waxwingvalve::front
