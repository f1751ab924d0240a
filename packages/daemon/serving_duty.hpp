// The serving thread: callers, peers and upstreams meet here.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/latency.hpp"
#include "base/result.hpp"
#include "daemon/configuration_page.hpp"
#include "daemon/duty_link.hpp"
#include "daemon/figures.hpp"
#include "daemon/members_duty.hpp"
#include "daemon/serving/front.hpp"
#include "daemon/serving/placement.hpp"
#include "decision/drains/planned_stop.hpp"
#include "decision/records/configuration.hpp"
#include "net/http_server.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon
{

using configuration_pointer =
    std::shared_ptr<const decision::records::configuration>;

class serving_duty
{
public:
    serving_duty(
        const schema::daemon_settings& settings,
        figures& counts,
        std::uint64_t incarnation);
    ~serving_duty();
    serving_duty(const serving_duty&) = delete;
    serving_duty& operator=(const serving_duty&) = delete;

    // Errors: address_in_use.
    base::result<void> start();

    // Who is told of peers' newer configurations, on the serving thread; to
    // be set before start().
    void on_hint(hint_receiver receive) { hints_ = std::move(receive); }

    // Hands a newer configuration over; called by the records duty.
    bool offer(configuration_pointer next);

    // Hands newer views of the zone over; called by the members duty.
    bool offer_members(serving::member_pointer next);
    bool offer_ownership(decision::ownership::owned_workers next);
    // Where to tell the members duty what it needs; set before start().
    void report_to(std::function<bool(serving_report)> receive)
    {
        report_ = std::move(receive);
    }

    // A planned stop (decision/drains/planned_stop.hpp), which ends the
    // thread. Returns at once.
    void begin_stop();

    // Waits until the thread has ended.
    void join();

private:
    void adopt(configuration_pointer next);
    std::optional<net::http_response> answer(const net::http_request& in);
    boost::asio::awaitable<std::optional<net::http_response>> serve(
        net::http_request in);
    base::duration longest_list_lifetime() const;
    void tick_later();
    void tick();
    void report();

    boost::asio::io_context context_;
    const schema::daemon_settings& settings_;
    figures& counts_;
    boost::asio::steady_timer timer_;
    base::latency_window latencies_;
    decision::drains::planned_stop stop_;
    serving::placement places_;
    serving::front front_;
    net::http_server server_;
    duty_link<configuration_pointer> configurations_;
    hint_receiver hints_;
    duty_link<serving::member_pointer> members_;
    duty_link<decision::ownership::owned_workers> ownership_;
    std::function<bool(serving_report)> report_;
    std::thread thread_;
};

} // namespace waxwingvalve::daemon
