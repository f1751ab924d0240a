// The records thread: learns of accepted configurations from the platform
// and from peers, and hands each newer one to the serving thread.
//
// Only a higher revision is ever taken, whatever comes late, twice or stale.
// A daemon that starts hands nothing over before it has asked both the store
// and the peers of its zone, so that a stale answer of one cannot win.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/result.hpp"
#include "daemon/configuration_page.hpp"
#include "daemon/duty_link.hpp"
#include "daemon/figures.hpp"
#include "daemon/serving_duty.hpp"
#include "decision/records/adoption.hpp"
#include "schema/settings.hpp"
#include "store/http_table_service.hpp"

namespace waxwingvalve::daemon
{

class records_duty
{
public:
    records_duty(
        const schema::daemon_settings& settings,
        figures& counts,
        std::function<bool(configuration_pointer)> deliver);
    ~records_duty();
    records_duty(const records_duty&) = delete;
    records_duty& operator=(const records_duty&) = delete;

    // Errors: those of the keys file.
    base::result<void> start();
    void stop();

    // A peer's hint; called by the serving thread alone.
    void hint(configuration_hint heard);

private:
    using peer_pointer = const schema::peer_settings*;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> ask_all_first();
    boost::asio::awaitable<void> ask_peers();
    boost::asio::awaitable<void> ask_hinted(configuration_hint heard);

    // True when the store answered.
    boost::asio::awaitable<bool> read_store();
    boost::asio::awaitable<
        std::optional<std::vector<decision::records::accepted_change>>>
    read_changes(decision::records::revision head);

    // True when the peer answered.
    boost::asio::awaitable<bool> ask_peer(peer_pointer peer);
    boost::asio::awaitable<void> send_hint(peer_pointer peer);

    void take(
        decision::records::revision at,
        std::vector<decision::records::accepted_change> changes,
        std::string_view source);
    void hand_over();
    void tell_peers();
    peer_pointer any_peer();
    double random_share();
    void note_peer_answer(bool answered);
    std::size_t peers_reached() const;

    boost::asio::io_context context_;
    const schema::daemon_settings& settings_;
    figures& counts_;
    std::function<bool(configuration_pointer)> deliver_;
    store::http_table_service table_;
    std::optional<decision::records::operator_keys> keys_;
    duty_link<configuration_hint> hints_;
    std::mt19937_64 random_{std::random_device{}()};
    // Invariant: its revision never falls.
    configuration_pointer known_;
    decision::records::revision handed_over_{0};
    // No revision is handed over before the first round of questions ended.
    bool asked_all_{false};
    bool asking_hinted_{false};
    // Whether the last peers that were asked answered.
    std::deque<bool> peer_answers_;
    std::thread thread_;
};

} // namespace waxwingvalve::daemon
