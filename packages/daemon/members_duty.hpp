// The members thread: membership and ownership decided by the state machines
// of the decision package, with the link to peers, the VM list, the proofs
// by refused connections and the serving thread around them.
//
// The serving thread dispatches by the newest set of owned workers that it
// was given, until that set's `dispatch_until`, and confirms its version
// here; a worker is granted to another daemon only after that.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "daemon/duty_link.hpp"
#include "daemon/figures.hpp"
#include "daemon/serving/placement.hpp"
#include "decision/membership/swim.hpp"
#include "decision/membership/vm_list_tracker.hpp"
#include "decision/ownership/zone_ownership.hpp"
#include "net/peer_link.hpp"
#include "schema/settings.hpp"
#include "store/http_vm_list.hpp"

namespace waxwingvalve::daemon
{

// What the serving thread tells, several times a second.
struct serving_report
{
    decision::ownership::serving_state state{};
    std::shared_ptr<const decision::records::configuration> configuration{};
    std::vector<schema::service_room> rooms{};
    std::string key_prefix{};
    std::vector<std::uint64_t> poison_digests{};
};

class members_duty
{
public:
    struct receivers
    {
        std::function<bool(serving::member_pointer)> members{};
        std::function<bool(decision::ownership::owned_workers)> owned{};
        // Addresses of the VMs that the platform lists as leaving.
        std::function<bool(std::set<std::string, std::less<>>)> leaving_vms{};
    };

    members_duty(
        const schema::daemon_settings& settings,
        figures& counts,
        receivers deliver,
        std::uint64_t incarnation);
    ~members_duty();
    members_duty(const members_duty&) = delete;
    members_duty& operator=(const members_duty&) = delete;

    // Listens before anything is claimed: from then on the peer address
    // refuses nothing while this process lives. Errors: address_in_use.
    base::result<void> start();

    // Called by the serving thread.
    bool offer(serving_report report);

    // Tells the zone that this daemon leaves and hands its workers over.
    void begin_stop();
    // The serving thread has ended and dispatches nothing more; returns when
    // the workers are handed over or `hand_over_time` is past.
    void end_stop();

private:
    void tick_later();
    void tick();
    void take_members(base::instant now);
    void look_for_proofs(base::instant now);
    void look_for_proof(const std::string& name, base::instant now);
    // A connection to this peer ended: its process may have.
    void on_lost(const base::endpoint& peer);
    boost::asio::awaitable<void> try_connection(std::string name);
    boost::asio::awaitable<void> read_vm_list();
    void deliver(base::instant now);
    void log_changes();
    void adopt(serving_report report);
    void take_workers(const decision::records::configuration& next);
    void receive(std::span<const std::uint8_t> bytes);
    void receive_claims(const schema::peer_message& message);
    void send(
        const std::vector<decision::membership::outgoing_message>& messages);
    void send(const decision::ownership::claim_message& claims);

    boost::asio::io_context context_;
    const schema::daemon_settings& settings_;
    figures& counts_;
    receivers deliver_;
    decision::membership::swim members_;
    decision::ownership::zone_ownership ownership_;
    decision::membership::vm_list_tracker listed_;
    net::peer_link link_;
    store::http_vm_list vm_list_;
    boost::asio::steady_timer timer_;
    duty_link<serving_report> reports_;
    // Peers that are being connected to at this moment.
    std::set<std::string> connecting_;
    std::map<std::string, base::instant> connected_at_;
    std::set<base::endpoint> logged_;
    std::map<std::string, decision::membership::member_state> states_;
    std::uint64_t configured_{0};
    base::instant delivered_members_{};
    bool leaving_{false};
    std::thread thread_;
};

} // namespace waxwingvalve::daemon
