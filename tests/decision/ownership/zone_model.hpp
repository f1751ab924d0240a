// A zone of two to eight daemons as a model: their ownership machines, what
// their serving threads dispatch by, and the messages between them, which
// are lost, late and repeated as the steps of a run say.
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

// When a daemon counts another one as gone.
enum class proof_rule : std::uint8_t
{
    // Its address refuses connections, or its VM left the list and it was
    // silent longer than its tenure.
    proof,
    // It was silent longer than its tenure.
    silence,
};

enum class fault : std::uint8_t
{
    run,
    freeze,
    thaw,
    kill,
    restart,
    cut,
    heal,
    lose,
    repeat,
    hold,
    leave,
    vanish,
    dispatch,
    finish,
    count,
};

struct model_step
{
    fault what{};
    std::uint8_t first{};
    std::uint8_t second{};

    friend std::ostream& operator<<(std::ostream& out, const model_step& one)
    {
        return out << static_cast<int>(one.what) << ':'
                   << static_cast<int>(one.first) << ':'
                   << static_cast<int>(one.second);
    }
};

class zone_model
{
public:
    static constexpr int workers = 5;
    static constexpr milliseconds tick_time{100};
    static constexpr milliseconds tenure{5000};

    zone_model(int daemons, proof_rule rule) : rule_{rule}
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
        auto& one = daemons_[first];
        switch (step.what)
        {
        case fault::run:
            run(1 + step.first % 40);
            break;
        case fault::freeze:
            one.frozen = true;
            break;
        case fault::thaw:
            one.frozen = false;
            break;
        case fault::kill:
            kill(one);
            break;
        case fault::restart:
            restart(first);
            break;
        case fault::cut:
            cuts_.insert(std::minmax(first, second));
            break;
        case fault::heal:
            cuts_.clear();
            break;
        case fault::lose:
            drop_message(step.second);
            break;
        case fault::repeat:
            repeat_message(step.second);
            break;
        case fault::hold:
            hold_message(step.second);
            break;
        case fault::leave:
            leave(one);
            break;
        case fault::vanish:
            vanish(one);
            break;
        case fault::dispatch:
            dispatch(one, step.second % workers);
            break;
        case fault::finish:
            one.running[step.second % workers] = 0;
            break;
        case fault::count:
            break;
        }
        check();
    }

    void run(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick)
        {
            now_ += tick_time;
            for (std::size_t one = 0; one < daemons_.size(); ++one)
            {
                stop_unlisted(daemons_[one]);
                run_daemon(one);
            }
            deliver();
            check();
        }
    }

    // The first breach, in words.
    const std::optional<std::string>& breach() const { return breach_; }

    // Workers that some daemon dispatches to now.
    int served() const
    {
        int out = 0;
        for (int worker = 0; worker < workers; ++worker)
        {
            bool any = false;
            for (const auto& one : daemons_)
            {
                any = any || may_dispatch(one, worker);
            }
            out += any ? 1 : 0;
        }
        return out;
    }

private:
    struct daemon
    {
        std::unique_ptr<ownership::zone_ownership> machine{};
        // What its serving thread dispatches by; adopted a tick late.
        ownership::owned_workers adopted{};
        std::array<int, workers> running{};
        std::vector<base::instant> heard{};
        std::uint64_t incarnation{};
        bool alive{true};
        bool frozen{};
        bool leaving{};
        base::instant frozen_at{};
        // Ran on after a long freeze, though its VM is off the list.
        bool thawed_late{};
        // Since when the VM list no longer has it.
        std::optional<base::instant> off_list{};
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

    void start(daemon& one, std::size_t number, std::size_t daemons)
    {
        const auto incarnation = one.incarnation + 1;
        one = {};
        one.incarnation = incarnation;
        one.heard.assign(daemons, now_);
        one.machine = std::make_unique<ownership::zone_ownership>(
            name(number), incarnation << 20U, ownership::ownership_options{});
        std::vector<ownership::zone_worker> list;
        list.reserve(workers);
        for (int worker = 0; worker < workers; ++worker)
        {
            list.push_back({address(worker), 4});
        }
        one.machine->set_workers(list);
        for (std::size_t other = 0; other < daemons; ++other)
        {
            one.machine->set_member(name(other), true);
        }
    }

    void kill(daemon& one)
    {
        one.alive = false;
        one.frozen = false;
        one.running = {};
    }

    static void freeze_at(daemon& one, base::instant when)
    {
        if (one.alive && !one.frozen)
        {
            one.frozen = true;
            one.frozen_at = when;
        }
    }

    void freeze(daemon& one) { freeze_at(one, now_); }

    // A VM that left the list is stopped within a tenure. It may be frozen
    // before that and thaw at any time after.
    void thaw(daemon& one)
    {
        const bool paused = now_ - one.frozen_at > milliseconds{1200};
        one.frozen = false;
        if (one.off_list && now_ - *one.off_list >= tenure && !paused)
        {
            kill(one);
        }
        one.thawed_late = one.off_list && paused;
    }

    void vanish(daemon& one)
    {
        if (!one.off_list)
        {
            one.off_list = now_;
        }
    }

    void stop_unlisted(daemon& one)
    {
        if (one.off_list && now_ - *one.off_list >= tenure && !one.frozen &&
            !one.thawed_late)
        {
            kill(one);
        }
    }

    // The list lags, for each reader by another time.
    bool sees_off_list(
        std::size_t reader, const daemon& peer, milliseconds since) const
    {
        const auto lag = milliseconds{300} * static_cast<int>(reader);
        return peer.off_list && now_ - *peer.off_list > lag + since;
    }

    void restart(std::size_t number)
    {
        auto& one = daemons_[number];
        // A VM that left the list does not come back.
        if (!one.alive && !one.off_list)
        {
            start(one, number, daemons_.size());
        }
    }

    void leave(daemon& one)
    {
        if (one.alive && !one.frozen)
        {
            one.leaving = true;
            one.machine->leave();
        }
    }

    bool cut(std::size_t one, std::size_t other) const
    {
        return cuts_.contains(std::minmax(one, other));
    }

    void run_daemon(std::size_t number)
    {
        auto& one = daemons_[number];
        if (!one.alive || one.frozen)
        {
            return;
        }
        // The serving thread is a tick behind the machine.
        one.adopted = one.machine->owned();
        ownership::serving_state state{one.adopted.version, {}};
        for (int worker = 0; worker < workers; ++worker)
        {
            if (one.running[static_cast<std::size_t>(worker)] > 0)
            {
                state.running.insert(address(worker));
            }
        }
        look_for_gone(number);
        for (auto& out : one.machine->tick(now_))
        {
            send(number, std::move(out));
        }
        one.machine->on_serving_state(std::move(state));
    }

    void look_for_gone(std::size_t number)
    {
        auto& one = daemons_[number];
        for (std::size_t other = 0; other < daemons_.size(); ++other)
        {
            if (other == number)
            {
                continue;
            }
            const auto& peer = daemons_[other];
            const bool silent = now_ - one.heard[other] > tenure;
            const bool refused = !peer.alive && !cut(number, other);
            const bool vanished = silent && sees_off_list(number, peer, tenure);
            const bool proven = refused || vanished;
            one.machine->set_vm_listed(
                name(other), !sees_off_list(number, peer, milliseconds{0}));
            const bool gone = rule_ == proof_rule::proof ? proven : silent;
            one.machine->set_member(name(other), !gone && !peer.leaving);
            if (gone)
            {
                one.machine->on_member_dead(name(other), now_);
            }
        }
    }

    void send(std::size_t from, ownership::claim_message content)
    {
        const auto to = static_cast<std::size_t>(content.to.back() - '0');
        network_.push_back({from, to, std::move(content), now_ + tick_time});
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(
            network_,
            [&](const message& one)
            {
                if (one.due > now_)
                {
                    return false;
                }
                due.push_back(one);
                return true;
            });
        for (const auto& one : due)
        {
            auto& to = daemons_[one.to];
            if (cut(one.from, one.to) || !to.alive)
            {
                continue;
            }
            if (to.frozen)
            {
                // It waits in the socket.
                network_.push_back(one);
                continue;
            }
            to.heard[one.from] = now_;
            receive(to, one);
        }
    }

    void receive(daemon& to, const message& one)
    {
        if (one.content.kind == schema::message_kind::grant)
        {
            to.machine->on_grant(name(one.from), one.content.claims);
            return;
        }
        auto answer = to.machine->on_claim(name(one.from), one.content.claims);
        if (answer)
        {
            send(one.to, std::move(*answer));
        }
    }

    void drop_message(std::size_t which)
    {
        if (!network_.empty())
        {
            network_.erase(
                network_.begin() +
                static_cast<std::ptrdiff_t>(which % network_.size()));
        }
    }

    void repeat_message(std::size_t which)
    {
        if (!network_.empty())
        {
            auto copy = network_[which % network_.size()];
            copy.due = now_ + milliseconds{50 * (which % 100)};
            network_.push_back(std::move(copy));
        }
    }

    void hold_message(std::size_t which)
    {
        if (!network_.empty())
        {
            network_[which % network_.size()].due =
                now_ + milliseconds{100 * (which % 100)};
        }
    }

    bool may_dispatch(const daemon& one, int worker) const
    {
        return one.alive && !one.frozen && one.adopted.may_dispatch &&
               now_ < one.adopted.dispatch_until &&
               one.adopted.addresses.contains(address(worker));
    }

    void dispatch(daemon& one, int worker)
    {
        if (may_dispatch(one, worker))
        {
            ++one.running[static_cast<std::size_t>(worker)];
        }
    }

    void check()
    {
        for (int worker = 0; worker < workers && !breach_; ++worker)
        {
            int owners = 0;
            for (const auto& one : daemons_)
            {
                owners += may_dispatch(one, worker) ? 1 : 0;
            }
            if (owners > 1)
            {
                breach_ = fmt::format(
                    "worker {} has {} dispatching owners", worker, owners);
            }
        }
    }

    proof_rule rule_;
    base::instant now_{std::chrono::hours{1}};
    std::vector<daemon> daemons_;
    std::vector<message> network_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::optional<std::string> breach_;
};

} // namespace waxwingvalve::test
