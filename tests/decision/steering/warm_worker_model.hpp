// A small model of workers that are faster with objects they handled lately,
// and of daemons that choose among them by the decision code.
//
// Time runs in ticks. A worker has slots, a queue and a memory of its last
// objects; it sheds when its queue is full and stops what is past its time.
// Daemons learn of a worker's load only from its answers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "decision/steering/spillover_gate.hpp"
#include "decision/steering/utilization_limit.hpp"
#include "decision/steering/worker_choice.hpp"
#include "decision/steering/worker_table.hpp"

namespace waxwingvalve::decision::steering::model
{

using namespace std::chrono_literals;
using base::duration;
using base::instant;

struct load_plan
{
    int daemons{11};
    int workers{24};
    std::uint32_t slots{6};
    std::size_t queue{18};
    std::size_t remembered_objects{31};
    int objects{57};
    double requests_per_s{225};
    duration cold_work{900ms};
    duration warm_work{270ms};
    duration target{600ms};
    duration timeout{2'500ms};
    // Requests rise by this factor between these times.
    double burst{1.0};
    duration burst_begin{0};
    duration burst_end{0};
};

struct model_request
{
    int object{};
    std::size_t daemon{};
    instant arrived{};
    instant ends{};
};

struct model_worker
{
    std::string id{};
    std::vector<model_request> running{};
    std::deque<model_request> waiting{};
    std::list<int> warm{};
};

// Counts of one second of arrivals, by the second in which they arrived.
struct second_counts
{
    int asked{};
    int in_time{};
    int refused{};
};

class fleet_model
{
public:
    static constexpr duration tick{5ms};

    fleet_model(load_plan plan, choice_policy policy, std::uint64_t seed)
        : plan_{plan}, policy_{policy}, random_{seed}
    {
        for (int i = 0; i < plan_.workers; ++i)
        {
            workers_.push_back({"worker-" + std::to_string(i)});
        }
        for (int d = 0; d < plan_.daemons; ++d)
        {
            add_view();
        }
    }

    // Counts by second.
    std::vector<second_counts> run(duration length)
    {
        const instant begin{1h};
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(length).count();
        counts_.resize(static_cast<std::size_t>(seconds) + 1);
        for (now_ = begin; now_ < begin + length; now_ += tick)
        {
            finish_work();
            arrive(begin);
        }
        return counts_;
    }

private:
    void add_view()
    {
        std::vector<std::unique_ptr<worker>> view;
        for (const auto& one : workers_)
        {
            worker_entry entry;
            entry.id = one.id;
            entry.slots = plan_.slots;
            view.push_back(std::make_unique<worker>(entry, instant{1h}));
        }
        views_.push_back(std::move(view));
        limits_.emplace_back();
        gates_.emplace_back();
    }

    second_counts& counts_of(const model_request& request)
    {
        const auto since = request.arrived - instant{1h};
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(since).count();
        return counts_.at(static_cast<std::size_t>(second));
    }

    void arrive(instant begin)
    {
        const auto since = now_ - begin;
        const bool bursts =
            since >= plan_.burst_begin && since < plan_.burst_end;
        const double rate = plan_.requests_per_s * (bursts ? plan_.burst : 1.0);
        std::poisson_distribution<int> count{
            rate * std::chrono::duration<double>(tick).count()};
        std::uniform_int_distribution<int> object{0, plan_.objects - 1};
        std::uniform_int_distribution<std::size_t> daemon{0, views_.size() - 1};
        for (int i = count(random_); i > 0; --i)
        {
            place({object(random_), daemon(random_), now_, {}});
        }
    }

    void place(model_request request)
    {
        ++counts_of(request).asked;
        auto& view = views_[request.daemon];
        std::vector<worker_candidate> candidates;
        for (std::size_t i = 0; i < view.size(); ++i)
        {
            const auto& one = *view[i];
            candidates.push_back(
                {i, one.entry().id, one.load(now_), one.slots()});
        }
        const auto name = "object-" + std::to_string(request.object);
        auto policy = policy_;
        policy.max_utilization = limits_[request.daemon].value();
        if (!gates_[request.daemon].open())
        {
            policy.idle_utilization = 0;
        }
        const auto ranked = rank_workers(name, candidates, policy, false);
        if (ranked.empty())
        {
            ++counts_of(request).refused;
            return;
        }
        send(request, ranked.front().index);
    }

    void send(const model_request& request, std::size_t index)
    {
        auto& to = workers_[index];
        auto& seen = *views_[request.daemon][index];
        if (to.waiting.size() >= plan_.queue)
        {
            ++counts_of(request).refused;
            report(to, seen);
            return;
        }
        seen.request_sent();
        to.waiting.push_back(request);
        begin_work(to);
    }

    void report(const model_worker& from, worker& to) const
    {
        to.report(
            {static_cast<std::uint32_t>(from.running.size()),
             static_cast<std::uint32_t>(from.waiting.size()),
             plan_.slots},
            now_);
    }

    void begin_work(model_worker& at)
    {
        while (at.running.size() < plan_.slots && !at.waiting.empty())
        {
            auto next = at.waiting.front();
            at.waiting.pop_front();
            next.ends = std::min(
                now_ + work_for(at, next.object), next.arrived + plan_.timeout);
            at.running.push_back(next);
        }
    }

    duration work_for(model_worker& at, int object)
    {
        const auto known = std::ranges::find(at.warm, object);
        const bool warm = known != at.warm.end();
        if (warm)
        {
            at.warm.erase(known);
        }
        at.warm.push_front(object);
        if (at.warm.size() > plan_.remembered_objects)
        {
            at.warm.pop_back();
        }
        return warm ? plan_.warm_work : plan_.cold_work;
    }

    void finish_work()
    {
        for (std::size_t i = 0; i < workers_.size(); ++i)
        {
            auto& at = workers_[i];
            const auto done = std::partition(
                at.running.begin(),
                at.running.end(),
                [&](const model_request& one) { return one.ends > now_; });
            const std::vector<model_request> ended(done, at.running.end());
            at.running.erase(done, at.running.end());
            begin_work(at);
            for (const auto& one : ended)
            {
                auto& seen = *views_[one.daemon][i];
                seen.request_ended();
                report(at, seen);
                gates_[one.daemon].record(
                    {static_cast<std::uint32_t>(at.running.size()),
                     static_cast<std::uint32_t>(at.waiting.size()),
                     plan_.slots});
                const bool in_time = now_ - one.arrived <= plan_.target;
                limits_[one.daemon].record(now_ - one.arrived, plan_.target);
                counts_of(one).in_time += in_time ? 1 : 0;
            }
        }
    }

    load_plan plan_;
    choice_policy policy_;
    std::mt19937_64 random_;
    std::vector<model_worker> workers_;
    std::vector<std::vector<std::unique_ptr<worker>>> views_;
    std::vector<utilization_limit> limits_;
    std::vector<spillover_gate> gates_;
    std::vector<second_counts> counts_;
    instant now_{};
};

// Share of the requests of [from, to) seconds that were answered in time.
inline double in_time_share(
    const std::vector<second_counts>& counts, std::size_t from, std::size_t to)
{
    int asked = 0;
    int in_time = 0;
    for (std::size_t i = from; i < to; ++i)
    {
        asked += counts[i].asked;
        in_time += counts[i].in_time;
    }
    return asked == 0 ? 1.0 : static_cast<double>(in_time) / asked;
}

} // namespace waxwingvalve::decision::steering::model
