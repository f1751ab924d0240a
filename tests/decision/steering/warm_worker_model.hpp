// A model of workers that are faster for objects they handled recently, and of
// daemons that choose among them with the code under test.
//
// Time advances in ticks. A worker has slots, a queue and a memory of its
// latest objects; it refuses requests when its queue is full and aborts those
// that time out. Daemons learn the load of a worker only from its answers.
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
    // Factor on the request rate between these times.
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

// Outcomes of the requests that arrived within one second.
struct second_counts
{
    int arrived_count{};
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

    // Returns the outcomes by second of arrival.
    std::vector<second_counts> run(duration length)
    {
        const instant begin{1h};
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(length).count();
        counts_.resize(static_cast<std::size_t>(seconds) + 1);
        for (now_ = begin; now_ < begin + length; now_ += tick)
        {
            finish_requests();
            generate_arrivals(begin);
        }
        return counts_;
    }

private:
    void add_view()
    {
        std::vector<std::unique_ptr<worker>> view;
        for (const auto& target : workers_)
        {
            worker_entry entry;
            entry.id = target.id;
            entry.slots = plan_.slots;
            view.push_back(std::make_unique<worker>(entry, instant{1h}));
        }
        views_.push_back(std::move(view));
        limits_.emplace_back();
        gates_.emplace_back();
    }

    second_counts& counts_of(const model_request& request)
    {
        const auto elapsed = request.arrived - instant{1h};
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
        return counts_.at(static_cast<std::size_t>(second));
    }

    void generate_arrivals(instant begin)
    {
        const auto elapsed = now_ - begin;
        const bool in_burst =
            elapsed >= plan_.burst_begin && elapsed < plan_.burst_end;
        const double rate =
            plan_.requests_per_s * (in_burst ? plan_.burst : 1.0);
        std::poisson_distribution<int> count{
            rate * std::chrono::duration<double>(tick).count()};
        std::uniform_int_distribution<int> object{0, plan_.objects - 1};
        std::uniform_int_distribution<std::size_t> daemon{0, views_.size() - 1};
        for (int i = count(random_); i > 0; --i)
        {
            route_request({object(random_), daemon(random_), now_, {}});
        }
    }

    void route_request(model_request request)
    {
        ++counts_of(request).arrived_count;
        auto& view = views_[request.daemon];
        std::vector<worker_candidate> candidates;
        for (std::size_t i = 0; i < view.size(); ++i)
        {
            const auto& candidate = *view[i];
            candidates.push_back(
                {i,
                 candidate.entry().id,
                 candidate.load(now_),
                 candidate.slots()});
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
        auto& target = workers_[index];
        auto& view = *views_[request.daemon][index];
        if (target.waiting.size() >= plan_.queue)
        {
            ++counts_of(request).refused;
            report(target, view);
            return;
        }
        view.request_sent();
        target.waiting.push_back(request);
        start_requests(target);
    }

    void report(const model_worker& from, worker& to) const
    {
        to.report(
            {static_cast<std::uint32_t>(from.running.size()),
             static_cast<std::uint32_t>(from.waiting.size()),
             plan_.slots},
            now_);
    }

    void start_requests(model_worker& target)
    {
        while (target.running.size() < plan_.slots && !target.waiting.empty())
        {
            auto next = target.waiting.front();
            target.waiting.pop_front();
            next.ends = std::min(
                now_ + run_time(target, next.object),
                next.arrived + plan_.timeout);
            target.running.push_back(next);
        }
    }

    duration run_time(model_worker& target, int object)
    {
        const auto known = std::ranges::find(target.warm, object);
        const bool warm = known != target.warm.end();
        if (warm)
        {
            target.warm.erase(known);
        }
        target.warm.push_front(object);
        if (target.warm.size() > plan_.remembered_objects)
        {
            target.warm.pop_back();
        }
        return warm ? plan_.warm_work : plan_.cold_work;
    }

    void finish_requests()
    {
        for (std::size_t i = 0; i < workers_.size(); ++i)
        {
            auto& target = workers_[i];
            const auto done = std::partition(
                target.running.begin(),
                target.running.end(),
                [&](const model_request& request)
                { return request.ends > now_; });
            const std::vector<model_request> ended(done, target.running.end());
            target.running.erase(done, target.running.end());
            start_requests(target);
            for (const auto& request : ended)
            {
                auto& view = *views_[request.daemon][i];
                view.request_ended();
                report(target, view);
                gates_[request.daemon].record(
                    {static_cast<std::uint32_t>(target.running.size()),
                     static_cast<std::uint32_t>(target.waiting.size()),
                     plan_.slots});
                const bool in_time = now_ - request.arrived <= plan_.target;
                limits_[request.daemon].record(
                    now_ - request.arrived, plan_.target);
                counts_of(request).in_time += in_time ? 1 : 0;
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

// Returns the share of the requests arrived in seconds [from, to) that were
// answered in time.
inline double in_time_share(
    const std::vector<second_counts>& counts, std::size_t from, std::size_t to)
{
    int arrived_count = 0;
    int in_time = 0;
    for (std::size_t i = from; i < to; ++i)
    {
        arrived_count += counts[i].arrived_count;
        in_time += counts[i].in_time;
    }
    return arrived_count == 0 ? 1.0
                              : static_cast<double>(in_time) / arrived_count;
}

} // namespace waxwingvalve::decision::steering::model
