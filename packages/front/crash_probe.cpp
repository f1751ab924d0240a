#include "front/crash_probe.hpp"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "base/log.hpp"

namespace waxwingvalve::front
{

using tcp = boost::asio::ip::tcp;
using steering::contact_loss;

namespace
{

void record_crash(
    serving_context& context,
    const unanswered_attempt& attempt,
    const steering::worker_crash& crash)
{
    auto& view = context.view;
    const auto now = base::monotonic_clock::now();
    view.record_lost_contact(
        *attempt.worker, crash.worker, {contact_loss::refused, now}, now);
    const bool counted = view.crashes.record_crash(crash);
    if (counted)
    {
        view.crash_gossip.publish(crash);
    }
    base::log_event(
        base::log_level::warning,
        base::log_channel::serving,
        "worker_ended",
        "request",
        attempt.request,
        "worker",
        attempt.worker->entry().id,
        "digest",
        crash.digest,
        "counts",
        counted);
}

} // namespace

void probe_for_crash(serving_context& context, unanswered_attempt attempt)
{
    boost::system::error_code failure;
    const auto worker_address = attempt.worker->entry().address;
    const auto address =
        boost::asio::ip::make_address(worker_address.address, failure);
    if (failure)
    {
        return;
    }
    auto socket = std::make_shared<tcp::socket>(context.loop);
    // Names the incarnation that ran the request: the worker may have started
    // again by the time of the answer.
    const steering::worker_crash crash{
        .id = context.view.crash_gossip.new_id(),
        .digest = attempt.digest,
        .worker = attempt.incarnation,
        .sent_at = attempt.sent_at,
        .ended_at = attempt.ended_at};
    socket->async_connect(
        tcp::endpoint{address, worker_address.port},
        [socket, &context, crash, attempt = std::move(attempt)](
            const boost::system::error_code& reason)
        {
            if (reason == boost::asio::error::connection_refused)
            {
                record_crash(context, attempt, crash);
            }
            else if (!reason && attempt.lost_kept_connection)
            {
                const auto now = base::monotonic_clock::now();
                context.view.record_lost_contact(
                    *attempt.worker,
                    crash.worker,
                    {contact_loss::reset, now},
                    now);
            }
        });
}

void clear_crash_suspicion(serving_context& context, std::uint64_t digest)
{
    const auto cleared = context.view.crashes.record_answer(
        digest, base::monotonic_clock::now());
    if (cleared)
    {
        context.view.crash_gossip.publish(*cleared);
    }
}

} // namespace waxwingvalve::front
