#include "front/quota_exchange.hpp"

#include <map>
#include <utility>

#include "net/guarded.hpp"

namespace waxwingvalve::front
{

namespace quotas = decision::quotas;
using decision::accounts::client_account;
using quotas::spend_status;

namespace
{

// The list of members is read again after this time.
constexpr std::chrono::milliseconds members_lifetime{200};

quotas::quota_limit limit_of(const client_account& account)
{
    return {account.requests_per_s, account.burst};
}

} // namespace

quota_exchange::quota_exchange(
    boost::asio::io_context& loop, fleet_view& view, request_metrics& counts)
    : view_{view}, counts_{counts}, holder_{view.members.self().incarnation},
      owner_{view.quota_terms()}, timer_{loop}
{
}

quotas::quota_fleet quota_exchange::fleet(base::instant now)
{
    const auto& members = view_.members;
    const auto self = members.key_of(members.self().name);
    if (now - members_read_at_ >= members_lifetime)
    {
        members_read_at_ = now;
        members_ = {{self, {}, base::duration::max()}};
        addresses_.clear();
        for (const auto& peer : members.peers(now))
        {
            members_.push_back({peer.key, peer.silence, peer.known_for});
            addresses_[peer.key] = peer.address;
        }
    }
    const bool settled = settle_gate_.open(
        {.started_for = members.started_for(now),
         .complete_for = members.complete_for(now),
         .alone = members_.size() == 1 && members.others_expected()});
    return {self, members_, settled && !members.self().leaving};
}

schema::quota_message quota_exchange::make_message() const
{
    const auto& self = view_.members.self();
    return {
        .sender = view_.members.key_of(self.name),
        .incarnation = self.incarnation};
}

quotas::spend_result quota_exchange::acquire(
    const client_account& account, const std::shared_ptr<quota_wait>& wait)
{
    const auto now = base::monotonic_clock::now();
    const auto digest = quotas::digest_of_account(account.name);
    holder_.set_uncoordinated_share(quotas::uncoordinated_share(fleet(now)));
    const auto result = holder_.spend(digest, limit_of(account), now);
    if (result.status == spend_status::pending)
    {
        ++counts_.quota_waits;
        waits_[digest].push_back(wait);
    }
    ask_for(digest, now);
    schedule_check();
    return result;
}

bool quota_exchange::acquire_at_once(const client_account& account)
{
    return holder_.spend_at_once(
        quotas::digest_of_account(account.name), base::monotonic_clock::now());
}

base::duration quota_exchange::retry_after(const client_account& account) const
{
    return holder_.retry_after(quotas::digest_of_account(account.name));
}

void quota_exchange::give_back(const client_account& account)
{
    holder_.give_back(quotas::digest_of_account(account.name));
}

void quota_exchange::withdraw(const client_account& account)
{
    const auto digest = quotas::digest_of_account(account.name);
    holder_.withdraw(digest);
    const auto waiting = waits_.find(digest);
    if (waiting == waits_.end())
    {
        return;
    }
    std::erase_if(
        waiting->second, [](const auto& wait) { return wait.expired(); });
    if (waiting->second.empty())
    {
        waits_.erase(waiting);
    }
}

void quota_exchange::refresh()
{
    const auto now = base::monotonic_clock::now();
    owner_.refresh(fleet(now), now);
}

void quota_exchange::ask_for(account_digest account, base::instant now)
{
    if (const auto due = holder_.due_request_of(account, now))
    {
        send_due({&*due, 1}, now);
    }
}

// Sends each request to the daemon that is to be asked; those that this daemon
// owns are answered here.
void quota_exchange::send_due(
    std::span<const quotas::quota_holder::due_request> due, base::instant now)
{
    const auto known = fleet(now);
    const quotas::quota_daemon self{
        known.self, view_.members.self().incarnation};
    std::map<std::uint64_t, schema::quota_message> messages;
    std::vector<schema::lease_grant> own_grants;
    for (const auto& [request, candidate] : due)
    {
        const auto ranked =
            quotas::rank_owners(request.account, known, holder_.max_candidates);
        if (ranked.empty())
        {
            continue;
        }
        const auto asked = ranked[candidate % ranked.size()];
        holder_.note_asked(request.account, asked);
        if (asked == known.self)
        {
            own_grants.push_back(answer(request, self, now));
            continue;
        }
        auto& message =
            messages.try_emplace(asked, make_message()).first->second;
        message.requests.push_back(request);
        if (message.requests.size() == schema::max_leases_per_message)
        {
            send(addresses_[asked], message);
            message.requests.clear();
        }
    }
    for (const auto& [asked, message] : messages)
    {
        if (!message.requests.empty())
        {
            send(addresses_[asked], message);
        }
    }
    for (const auto& grant : own_grants)
    {
        receive(grant, self, now);
    }
}

void quota_exchange::send(
    const base::endpoint& to, const schema::quota_message& message)
{
    ++counts_.quota_messages;
    send_(to, schema::encode(message));
}

schema::lease_grant quota_exchange::answer(
    const schema::lease_request& request,
    const quotas::quota_daemon& holder,
    base::instant now)
{
    const auto limit = view_.quota_of(request.account);
    if (!limit)
    {
        return {
            .account = request.account,
            .sequence = request.sequence,
            .status = schema::lease_status::not_owner};
    }
    return owner_.grant(request, holder, *limit, fleet(now), now);
}

void quota_exchange::handle(
    const schema::quota_message& message, const base::endpoint& from)
{
    const auto now = base::monotonic_clock::now();
    auto reply = make_message();
    for (const auto& request : message.requests)
    {
        if (reply.grants.size() == schema::max_leases_per_message)
        {
            break;
        }
        reply.grants.push_back(
            answer(request, {message.sender, message.incarnation}, now));
    }
    if (!reply.grants.empty())
    {
        send(from, reply);
    }
    for (const auto& grant : message.grants)
    {
        receive(grant, {message.sender, message.incarnation}, now);
    }
}

void quota_exchange::receive(
    const schema::lease_grant& grant,
    const quotas::quota_daemon& owner,
    base::instant now)
{
    if (const auto decision = holder_.receive(grant, owner, now))
    {
        apply(*decision);
    }
    // The next candidate, or the requests that came meanwhile.
    ask_for(grant.account, now);
}

// The ends are called last: a request that ends may come back here.
void quota_exchange::apply(const quotas::lease_decision& decision)
{
    std::vector<std::shared_ptr<quota_wait>> ended;
    auto& waiting = waits_[decision.account];
    while (ended.size() < decision.spent + decision.refused && !waiting.empty())
    {
        if (auto wait = waiting.front().lock())
        {
            wait->decided = true;
            ended.push_back(std::move(wait));
        }
        waiting.pop_front();
    }
    if (waiting.empty())
    {
        waits_.erase(decision.account);
    }
    const quotas::spend_result spent{spend_status::spent, {}, decision.paced};
    for (std::size_t i = 0; i < ended.size(); ++i)
    {
        const bool has_token = i < decision.spent;
        // One that was called before may have ended it.
        if (ended[i]->end)
        {
            ended[i]->end(has_token ? spent : decision.refusal);
        }
        else if (has_token && !decision.paced)
        {
            holder_.give_back(decision.account);
        }
    }
}

void quota_exchange::check()
{
    const auto now = base::monotonic_clock::now();
    for (const auto& decision : holder_.overdue(now))
    {
        apply(decision);
    }
    send_due(holder_.due_requests(now), now);
    holder_.remove_idle(now - idle_time);
}

void quota_exchange::schedule_check()
{
    if (check_scheduled_)
    {
        return;
    }
    check_scheduled_ = true;
    timer_.expires_after(check_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (cancelled)
            {
                return;
            }
            check_scheduled_ = false;
            net::run_guarded("quota", [this] { check(); });
            if (holder_.size() > 0)
            {
                schedule_check();
            }
        });
}

} // namespace waxwingvalve::front
