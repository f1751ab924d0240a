// Model of a zone of daemons: their ownership state machines, the owned
// workers that their serving threads dispatch by, and the messages between
// them. The steps of a run drop, delay and duplicate messages, pause and kill
// daemons, and partition the network.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "decision/ownership/zone_ownership.hpp"

namespace waxwingvalve::test
{

namespace ownership = decision::ownership;
using std::chrono::milliseconds;

// When a daemon treats another one as dead.
enum class death_criterion : std::uint8_t
{
    // Its address refuses connections, or its VM disappeared from the VM list
    // and no message came from it for longer than its tenure.
    proof,
    // No message came from it for longer than its tenure. Not a proof.
    silence,
};

enum class model_action : std::uint8_t
{
    run,
    pause,
    resume,
    kill,
    restart,
    partition,
    heal_partitions,
    drop_message,
    duplicate_message,
    delay_message,
    leave,
    unlist,
    dispatch,
    finish_requests,
    count,
};

struct model_step
{
    model_action action{};
    std::uint8_t first{};
    std::uint8_t second{};

    friend std::ostream& operator<<(std::ostream& out, const model_step& step)
    {
        return out << static_cast<int>(step.action) << ':'
                   << static_cast<int>(step.first) << ':'
                   << static_cast<int>(step.second);
    }
};

class zone_model
{
public:
    static constexpr int workers = 5;
    static constexpr milliseconds tick_interval{100};
    static constexpr milliseconds tenure{5000};

    zone_model(int daemons, death_criterion criterion) : criterion_{criterion}
    {
        for (int number = 0; number < daemons; ++number)
        {
            start(daemons_.emplace_back(), number, daemons);
        }
    }

    void apply(const model_step& step)
    {
        const auto first = step.first % daemons_.size();
        const auto second = step.second % daemons_.size();
        auto& node = daemons_[first];
        switch (step.action)
        {
        case model_action::run:
            run(1 + step.first % 40);
            break;
        case model_action::pause:
            node.is_paused = true;
            break;
        case model_action::resume:
            node.is_paused = false;
            break;
        case model_action::kill:
            kill(node);
            break;
        case model_action::restart:
            restart(first);
            break;
        case model_action::partition:
            partitions_.insert(std::minmax(first, second));
            break;
        case model_action::heal_partitions:
            partitions_.clear();
            break;
        case model_action::drop_message:
            drop_message(step.second);
            break;
        case model_action::duplicate_message:
            duplicate_message(step.second);
            break;
        case model_action::delay_message:
            delay_message(step.second);
            break;
        case model_action::leave:
            leave(node);
            break;
        case model_action::unlist:
            unlist(node);
            break;
        case model_action::dispatch:
            dispatch(node, step.second % workers);
            break;
        case model_action::finish_requests:
            node.running[step.second % workers] = 0;
            break;
        case model_action::count:
            break;
        }
        check();
    }

    void run(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick)
        {
            now_ += tick_interval;
            for (std::size_t number = 0; number < daemons_.size(); ++number)
            {
                stop_unlisted(daemons_[number]);
                run_daemon(number);
            }
            deliver();
            check();
        }
    }

    // Describes the first violation of mutual exclusion, if any.
    const std::optional<std::string>& violation() const { return violation_; }

    // Number of workers that some daemon may dispatch to now.
    int served_workers() const
    {
        int count = 0;
        for (int worker = 0; worker < workers; ++worker)
        {
            bool has_dispatcher = false;
            for (const auto& node : daemons_)
            {
                has_dispatcher = has_dispatcher || may_dispatch(node, worker);
            }
            count += has_dispatcher ? 1 : 0;
        }
        return count;
    }

private:
    struct daemon
    {
        std::unique_ptr<ownership::zone_ownership> state_machine{};
        // The owned workers that its serving thread dispatches by, adopted one
        // tick late.
        ownership::owned_workers adopted{};
        std::array<int, workers> running{};
        std::vector<base::instant> last_heard{};
        std::uint64_t incarnation{};
        bool alive{true};
        bool is_paused{};
        bool leaving{};
        base::instant paused_at{};
        // It resumed after a long pause although its VM is no longer listed.
        bool resumed_late{};
        // When its VM disappeared from the VM list.
        std::optional<base::instant> unlisted_since{};
    };

    struct message
    {
        std::size_t from{};
        std::size_t to{};
        ownership::claim_message content{};
        base::instant due{};
    };

    static base::endpoint address(int worker)
    {
        return {fmt::format("127.0.0.{}", 100 + worker), 9000};
    }
    static std::string name(std::size_t number)
    {
        return fmt::format("vm-{}", number);
    }

    void start(daemon& node, std::size_t number, std::size_t daemons)
    {
        const auto incarnation = node.incarnation + 1;
        node = {};
        node.incarnation = incarnation;
        node.last_heard.assign(daemons, now_);
        node.state_machine = std::make_unique<ownership::zone_ownership>(
            name(number), incarnation << 20U, ownership::ownership_options{});
        std::vector<ownership::zone_worker> configured_workers;
        configured_workers.reserve(workers);
        for (int worker = 0; worker < workers; ++worker)
        {
            configured_workers.push_back({address(worker), 4});
        }
        node.state_machine->set_workers(configured_workers);
        for (std::size_t other = 0; other < daemons; ++other)
        {
            node.state_machine->set_member(name(other), true);
        }
    }

    void kill(daemon& node)
    {
        node.alive = false;
        node.is_paused = false;
        node.running = {};
    }

    static void pause_at(daemon& node, base::instant time)
    {
        if (node.alive && !node.is_paused)
        {
            node.is_paused = true;
            node.paused_at = time;
        }
    }

    void pause(daemon& node) { pause_at(node, now_); }

    // A VM that disappeared from the list is stopped within a tenure. It may
    // be paused before that and resume at any time after.
    void resume(daemon& node)
    {
        const bool paused_long = now_ - node.paused_at > milliseconds{1200};
        node.is_paused = false;
        if (node.unlisted_since && now_ - *node.unlisted_since >= tenure &&
            !paused_long)
        {
            kill(node);
        }
        node.resumed_late = node.unlisted_since && paused_long;
    }

    void unlist(daemon& node)
    {
        if (!node.unlisted_since)
        {
            node.unlisted_since = now_;
        }
    }

    void stop_unlisted(daemon& node)
    {
        if (node.unlisted_since && now_ - *node.unlisted_since >= tenure &&
            !node.is_paused && !node.resumed_late)
        {
            kill(node);
        }
    }

    // The VM list lags behind by a different time for each reader.
    bool sees_unlisted(
        std::size_t reader, const daemon& peer, milliseconds since) const
    {
        const auto lag = milliseconds{300} * static_cast<int>(reader);
        return peer.unlisted_since && now_ - *peer.unlisted_since > lag + since;
    }

    void restart(std::size_t number)
    {
        auto& node = daemons_[number];
        // A VM that disappeared from the list does not come back.
        if (!node.alive && !node.unlisted_since)
        {
            start(node, number, daemons_.size());
        }
    }

    void leave(daemon& node)
    {
        if (node.alive && !node.is_paused)
        {
            node.leaving = true;
            node.state_machine->leave();
        }
    }

    bool is_partitioned(std::size_t first, std::size_t second) const
    {
        return partitions_.contains(std::minmax(first, second));
    }

    void run_daemon(std::size_t number)
    {
        auto& node = daemons_[number];
        if (!node.alive || node.is_paused)
        {
            return;
        }
        // The serving thread is one tick behind the state machine.
        node.adopted = node.state_machine->owned();
        ownership::serving_state state{node.adopted.version, {}};
        for (int worker = 0; worker < workers; ++worker)
        {
            if (node.running[static_cast<std::size_t>(worker)] > 0)
            {
                state.running.insert(address(worker));
            }
        }
        update_members(number);
        for (auto& claims : node.state_machine->tick(now_))
        {
            send(number, std::move(claims));
        }
        node.state_machine->on_serving_state(std::move(state));
    }

    void update_members(std::size_t number)
    {
        auto& node = daemons_[number];
        for (std::size_t other = 0; other < daemons_.size(); ++other)
        {
            if (other == number)
            {
                continue;
            }
            const auto& peer = daemons_[other];
            const bool silent = now_ - node.last_heard[other] > tenure;
            const bool refused = !peer.alive && !is_partitioned(number, other);
            const bool unlisted_and_silent =
                silent && sees_unlisted(number, peer, tenure);
            const bool proven = refused || unlisted_and_silent;
            node.state_machine->set_vm_listed(
                name(other), !sees_unlisted(number, peer, milliseconds{0}));
            const bool dead =
                criterion_ == death_criterion::proof ? proven : silent;
            node.state_machine->set_member(name(other), !dead && !peer.leaving);
            if (dead)
            {
                node.state_machine->on_member_dead(name(other), now_);
            }
        }
    }

    void send(std::size_t from, ownership::claim_message content)
    {
        const auto to = static_cast<std::size_t>(content.to.back() - '0');
        network_.push_back(
            {from, to, std::move(content), now_ + tick_interval});
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(
            network_,
            [&](const message& queued)
            {
                if (queued.due > now_)
                {
                    return false;
                }
                due.push_back(queued);
                return true;
            });
        for (const auto& delivered : due)
        {
            auto& to = daemons_[delivered.to];
            if (is_partitioned(delivered.from, delivered.to) || !to.alive)
            {
                continue;
            }
            if (to.is_paused)
            {
                // The message waits in the socket buffer.
                network_.push_back(delivered);
                continue;
            }
            to.last_heard[delivered.from] = now_;
            receive(to, delivered);
        }
    }

    void receive(daemon& to, const message& delivered)
    {
        if (delivered.content.kind == schema::message_kind::grant)
        {
            to.state_machine->on_grant(
                name(delivered.from), delivered.content.claims);
            return;
        }
        auto answer = to.state_machine->on_claim(
            name(delivered.from), delivered.content.claims);
        if (answer)
        {
            send(delivered.to, std::move(*answer));
        }
    }

    void drop_message(std::size_t index)
    {
        if (!network_.empty())
        {
            network_.erase(
                network_.begin() +
                static_cast<std::ptrdiff_t>(index % network_.size()));
        }
    }

    void duplicate_message(std::size_t index)
    {
        if (!network_.empty())
        {
            auto copy = network_[index % network_.size()];
            copy.due = now_ + milliseconds{50 * (index % 100)};
            network_.push_back(std::move(copy));
        }
    }

    void delay_message(std::size_t index)
    {
        if (!network_.empty())
        {
            network_[index % network_.size()].due =
                now_ + milliseconds{100 * (index % 100)};
        }
    }

    bool may_dispatch(const daemon& node, int worker) const
    {
        return node.alive && !node.is_paused && node.adopted.may_dispatch &&
               now_ < node.adopted.dispatch_until &&
               node.adopted.addresses.contains(address(worker));
    }

    void dispatch(daemon& node, int worker)
    {
        if (may_dispatch(node, worker))
        {
            ++node.running[static_cast<std::size_t>(worker)];
        }
    }

    void check()
    {
        for (int worker = 0; worker < workers && !violation_; ++worker)
        {
            int owners = 0;
            for (const auto& node : daemons_)
            {
                owners += may_dispatch(node, worker) ? 1 : 0;
            }
            if (owners > 1)
            {
                violation_ = fmt::format(
                    "worker {} has {} dispatching owners", worker, owners);
            }
        }
    }

    death_criterion criterion_;
    base::instant now_{std::chrono::hours{1}};
    std::vector<daemon> daemons_;
    std::vector<message> network_;
    std::set<std::pair<std::size_t, std::size_t>> partitions_;
    std::optional<std::string> violation_;
};

} // namespace waxwingvalve::test
