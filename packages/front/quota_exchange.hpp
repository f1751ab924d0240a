// Takes tokens of client accounts for requests, and exchanges leases of them
// with other daemons. The decisions are in decision/quotas.
//
// Not thread-safe: used only from the daemon's event loop.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/accounts/client_account.hpp"
#include "decision/quotas/quota_holder.hpp"
#include "decision/quotas/quota_owner.hpp"
#include "decision/quotas/quota_ranking.hpp"
#include "front/fleet_view.hpp"
#include "front/request_metrics.hpp"
#include "schema/quota.hpp"

namespace waxwingvalve::front
{

// A request that waits for a token. It leaves the queue when it is destroyed.
struct quota_wait
{
    // Called once, with `spent`, `exceeded` or `unconfirmed`. Empty if the
    // request has ended meanwhile.
    std::function<void(const decision::quotas::spend_result&)> end{};
    // The holder no longer counts it.
    bool decided{false};
};

class quota_exchange
{
public:
    using sender = std::function<void(
        const base::endpoint& to, std::span<const std::uint8_t> bytes)>;

    // While accounts are in use, leases are renewed and sent again this often.
    static constexpr std::chrono::milliseconds check_interval{25};
    // Accounts without requests for this long are forgotten.
    static constexpr std::chrono::seconds idle_time{10};

    quota_exchange(
        boost::asio::io_context& loop,
        fleet_view& view,
        request_metrics& counts);

    // Sends messages to other daemons.
    void on_send(sender send) { send_ = std::move(send); }

    // Takes a token for a request of the account. If that is pending, `wait`
    // is told the end, unless it is withdrawn before.
    decision::quotas::spend_result acquire(
        const decision::accounts::client_account& account,
        const std::shared_ptr<quota_wait>& wait);
    // Whether a token is here for a further send of a request.
    bool acquire_at_once(const decision::accounts::client_account& account);
    // When a token is likely, if there is none for a further send.
    base::duration retry_after(
        const decision::accounts::client_account& account) const;
    // A token that was taken was not needed.
    void give_back(const decision::accounts::client_account& account);
    // The request no longer waits. `wait` is dropped by its holder.
    void withdraw(const decision::accounts::client_account& account);

    // Follows the list of daemons. To be called at each round of heartbeats.
    void refresh();

    // A message of another daemon.
    void handle(
        const schema::quota_message& message, const base::endpoint& from);

private:
    using account_digest = decision::quotas::account_digest;

    decision::quotas::quota_fleet fleet(base::instant now);
    schema::quota_message make_message() const;
    schema::lease_grant answer(
        const schema::lease_request& request,
        const decision::quotas::quota_daemon& holder,
        base::instant now);
    void send_due(
        std::span<const decision::quotas::quota_holder::due_request> due,
        base::instant now);
    void send(const base::endpoint& to, const schema::quota_message& message);
    void receive(
        const schema::lease_grant& grant,
        const decision::quotas::quota_daemon& owner,
        base::instant now);
    void ask_for(account_digest account, base::instant now);
    void apply(const decision::quotas::lease_decision& decision);
    void check();
    void schedule_check();

    fleet_view& view_;
    request_metrics& counts_;
    sender send_{[](const base::endpoint&, std::span<const std::uint8_t>) {}};
    decision::quotas::quota_holder holder_;
    decision::quotas::quota_owner owner_;
    // Oldest first. Invariant: those that are alive are as many as the holder
    // counts.
    std::unordered_map<account_digest, std::deque<std::weak_ptr<quota_wait>>>
        waits_;
    std::vector<decision::quotas::quota_member> members_;
    std::unordered_map<std::uint64_t, base::endpoint> addresses_;
    base::instant members_read_at_{};
    decision::quotas::settle_gate settle_gate_{};
    boost::asio::steady_timer timer_;
    bool check_scheduled_{false};
};

} // namespace waxwingvalve::front
