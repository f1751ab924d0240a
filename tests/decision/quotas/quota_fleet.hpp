// Daemons that hold and own the quota of one account, joined by messages with a
// delay, to test what all of them send together.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

#include "decision/quotas/quota_holder.hpp"
#include "decision/quotas/quota_owner.hpp"
#include "decision/quotas/quota_ranking.hpp"

namespace waxwingvalve::tests
{

namespace quotas = decision::quotas;

struct quota_scene
{
    std::size_t daemons{};
    quotas::quota_limit limit{};
    // Requests a second at a daemon, this long after the begin.
    std::function<double(std::size_t daemon, base::duration at)> load{};
    base::duration length{std::chrono::seconds{20}};
    // Whether the daemon runs. One that stops and runs again has forgotten all.
    std::function<bool(std::size_t daemon, base::duration at)> runs{
        [](std::size_t, base::duration) { return true; }};
    // It stands still, and remembers all when it goes on.
    std::function<bool(std::size_t daemon, base::duration at)> frozen{
        [](std::size_t, base::duration) { return false; }};
    // Whether messages between the two arrive.
    std::function<bool(std::size_t one, std::size_t other, base::duration at)>
        connected{[](std::size_t, std::size_t, base::duration)
                  { return true; }};
    // The limit from this time on.
    std::function<quotas::quota_limit(base::duration at)> limit_at{};
    // How long a heartbeat takes to reach all daemons.
    base::duration gossip_delay{std::chrono::milliseconds{1'500}};
    // The first daemons learn later of others that have started.
    std::size_t late_daemons{0};
    base::duration late_gossip_delay{std::chrono::milliseconds{2'200}};
    // Part of the messages that is lost.
    double loss{0};
};

class quota_fleet
{
public:
    static constexpr quotas::quota_terms terms{};
    // The daemons run and know one another for so long before the load begins.
    static constexpr base::duration lead{std::chrono::seconds{10}};

    explicit quota_fleet(quota_scene scene) : scene_{std::move(scene)}
    {
        if (!scene_.limit_at)
        {
            scene_.limit_at = [limit = scene_.limit](base::duration)
            { return limit; };
        }
        for (std::size_t i = 0; i < scene_.daemons; ++i)
        {
            daemons_.emplace_back(i, scene_.daemons);
        }
    }

    void play()
    {
        const auto end = begin + scene_.length;
        for (now_ = begin - lead; now_ < end; now_ += step)
        {
            for (std::size_t i = 0; i < daemons_.size(); ++i)
            {
                run_daemon(i);
            }
            deliver();
        }
    }

    // The most requests in any window that lies in the times.
    double most_in_window(
        base::duration from, base::duration until = std::chrono::hours{1}) const
    {
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t i = 0; i < sent_.size(); ++i)
        {
            if (sent_[i] >= begin + until)
            {
                break;
            }
            while (sent_[first] + terms.window < sent_[i] ||
                   sent_[first] < begin + from)
            {
                if (++first > i)
                {
                    break;
                }
            }
            most = first <= i ? std::max(most, i - first + 1) : most;
        }
        return static_cast<double>(most);
    }
    static double bound(const quotas::quota_limit& limit)
    {
        const std::chrono::duration<double> window{terms.window};
        return (limit.requests_per_s * window.count() + limit.burst) *
                   (1 + terms.overshoot) +
               terms.slack;
    }

    double refused_share() const
    {
        const auto all = static_cast<double>(sent_.size() + refused_);
        return all > 0 ? static_cast<double>(refused_) / all : 0;
    }
    std::size_t sent() const { return sent_.size(); }
    std::size_t refused() const { return refused_; }
    std::size_t messages() const { return messages_; }
    // Requests that found no token and waited.
    std::size_t waited() const { return waited_; }

private:
    static constexpr std::chrono::milliseconds step{5};
    static constexpr base::instant begin{std::chrono::hours{2}};
    static constexpr std::size_t regions = 3;
    static constexpr quotas::account_digest account = 4711;

    struct daemon
    {
        daemon(std::size_t number, std::size_t count)
            : holder{number + 1}, owner{terms}, heard(count), known_since(count)
        {
        }

        quotas::quota_holder holder;
        quotas::quota_owner owner;
        quotas::settle_gate settled{};
        bool running{false};
        base::instant started_at{};
        std::vector<base::instant> heard;
        std::vector<base::instant> known_since;
    };
    struct message
    {
        base::instant arrives_at{};
        std::size_t from{};
        std::size_t to{};
        schema::lease_request request{};
        std::optional<schema::lease_grant> grant{};
    };

    base::duration at() const { return now_ - begin; }
    bool active(std::size_t i) const
    {
        return scene_.runs(i, at()) && !scene_.frozen(i, at());
    }

    void run_daemon(std::size_t i)
    {
        auto& one = daemons_[i];
        if (!scene_.runs(i, at()))
        {
            one.running = false;
            return;
        }
        if (!one.running)
        {
            one = daemon{i, daemons_.size()};
            one.running = true;
            one.started_at = now_;
        }
        if (!active(i))
        {
            return;
        }
        if (at() % std::chrono::milliseconds{500} == base::duration{})
        {
            hear(i);
            one.owner.refresh(view_of(i), now_);
            one.holder.set_uncoordinated_share(
                quotas::uncoordinated_share(view_of(i)));
        }
        if (now_ >= begin)
        {
            send_requests(i);
        }
        for (const auto& decision : one.holder.overdue(now_))
        {
            record(decision);
        }
        for (const auto& due : one.holder.due_requests(now_))
        {
            const auto ranked = quotas::rank_owners(
                account, view_of(i), quotas::quota_holder::max_candidates);
            if (!ranked.empty())
            {
                const auto asked = ranked[due.candidate % ranked.size()];
                one.holder.note_asked(account, asked);
                post({.from = i, .to = asked, .request = due.request});
            }
        }
    }

    // What heartbeats have told: a daemon that ran gossip_delay ago was heard.
    void hear(std::size_t i)
    {
        auto& one = daemons_[i];
        const auto start_delay = i < scene_.late_daemons
                                     ? scene_.late_gossip_delay
                                     : scene_.gossip_delay;
        for (std::size_t j = 0; j < daemons_.size(); ++j)
        {
            const auto told = at() - scene_.gossip_delay;
            const bool heard =
                j == i || (daemons_[j].running && scene_.runs(j, told) &&
                           !scene_.frozen(j, told) &&
                           daemons_[j].started_at + start_delay <= now_ &&
                           scene_.connected(i, j, at()));
            if (!heard)
            {
                continue;
            }
            const bool again = now_ - one.heard[j] > quotas::quota_silence ||
                               daemons_[j].started_at > one.known_since[j];
            one.known_since[j] = again ? now_ : one.known_since[j];
            one.heard[j] = now_;
        }
    }

    quotas::quota_fleet view_of(std::size_t i)
    {
        auto& one = daemons_[i];
        members_.clear();
        auto complete_for = base::duration::max();
        for (std::size_t j = 0; j < daemons_.size(); ++j)
        {
            if (one.heard[j] != base::instant{})
            {
                members_.push_back(
                    {j, now_ - one.heard[j], now_ - one.known_since[j]});
                complete_for =
                    std::min(complete_for, now_ - one.known_since[j]);
            }
        }
        return {
            i,
            members_,
            one.settled.open(
                {.started_for = now_ - one.started_at,
                 .complete_for = complete_for,
                 .alone = members_.size() == 1 && daemons_.size() > 1})};
    }

    void send_requests(std::size_t i)
    {
        const double mean =
            scene_.load(i, at()) * std::chrono::duration<double>{step}.count();
        std::poisson_distribution<int> arrivals{mean};
        const int count = mean > 0 ? arrivals(random_) : 0;
        for (int n = 0; n < count; ++n)
        {
            const auto result =
                daemons_[i].holder.spend(account, scene_.limit_at(at()), now_);
            if (result.status == quotas::spend_status::spent)
            {
                sent_.push_back(now_);
            }
            else if (result.status == quotas::spend_status::pending)
            {
                ++waited_;
            }
            else
            {
                ++refused_;
            }
        }
    }

    void record(const quotas::lease_decision& decision)
    {
        sent_.insert(sent_.end(), decision.spent, now_);
        refused_ += decision.refused;
    }

    void post(message what)
    {
        ++messages_;
        const bool own = what.from == what.to;
        if (!own && std::bernoulli_distribution{scene_.loss}(random_))
        {
            return;
        }
        const bool near = what.from % regions == what.to % regions;
        const std::chrono::milliseconds delay{own ? 0 : near ? 5 : 40};
        what.arrives_at = now_ + delay;
        on_the_way_.push_back(what);
    }

    void deliver()
    {
        for (std::size_t i = 0; i < on_the_way_.size(); ++i)
        {
            const auto what = on_the_way_[i];
            if (what.arrives_at <= now_)
            {
                arrive(what);
            }
        }
        std::erase_if(
            on_the_way_,
            [&](const message& one) { return one.arrives_at <= now_; });
    }

    std::uint64_t start_of(std::size_t i) const
    {
        return static_cast<std::uint64_t>(
            daemons_[i].started_at.time_since_epoch().count());
    }

    void arrive(const message& what)
    {
        const bool reached = daemons_[what.to].running && active(what.to) &&
                             scene_.connected(what.from, what.to, at());
        if (!reached)
        {
            return;
        }
        auto& receiver = daemons_[what.to];
        if (what.grant)
        {
            const quotas::quota_daemon owner{what.from, start_of(what.from)};
            if (const auto decision =
                    receiver.holder.receive(*what.grant, owner, now_))
            {
                record(*decision);
            }
            return;
        }
        const auto grant = receiver.owner.grant(
            what.request,
            {what.from, start_of(what.from)},
            scene_.limit_at(at()),
            view_of(what.to),
            now_);
        post({.from = what.to, .to = what.from, .grant = grant});
    }

    quota_scene scene_;
    std::vector<daemon> daemons_;
    std::vector<quotas::quota_member> members_;
    std::deque<message> on_the_way_;
    std::vector<base::instant> sent_;
    std::size_t refused_{0};
    std::size_t waited_{0};
    std::size_t messages_{0};
    std::mt19937_64 random_{1};
    base::instant now_{begin};
};

} // namespace waxwingvalve::tests
