// Daemons of one region whose callers' requests may run in three regions, to
// test how fast shares of regions change. Each daemon decides alone, by its own
// few requests; the shares are summed over all.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "front/fleet_view.hpp"
#include "front/front_fixture.hpp"

namespace waxwingvalve::tests
{

// The daemons of isan, and workers in all regions.
class shifting_fleet
{
public:
    // The share of a region may change by this from one window to the next.
    static constexpr double max_shift = 0.15;
    static constexpr std::chrono::milliseconds window{2'000};

    explicit shifting_fleet(int daemon_count)
    {
        for (int i = 0; i < object_count; ++i)
        {
            objects_.push_back(fmt::format("object-{}", i));
        }
        for (int i = 0; i < daemon_count; ++i)
        {
            add_daemon(i);
        }
        add_service("desk");
    }

    // From now on requests are for this service as often as for each other.
    void add_service(const std::string& service)
    {
        services_.push_back(service);
        for (const auto* zone : {"isan-a", "lanna-a", "plain-a"})
        {
            for (int i = 0; i < workers_per_zone; ++i)
            {
                put_worker(service, zone, i);
            }
        }
    }

    // `requests_per_s` of each daemon.
    void run(base::duration time, double requests_per_s)
    {
        std::bernoulli_distribution sends{
            requests_per_s * std::chrono::duration<double>{step}.count()};
        const auto end = now_ + time;
        for (; now_ < end; now_ += step)
        {
            const bool round =
                (now_ - begin) % round_interval == base::duration{};
            for (auto& view : views_)
            {
                if (round)
                {
                    view->members.next_round(now_);
                    view->refresh_members(now_);
                    report_loads(*view);
                }
                if (sends(random_))
                {
                    send(*view);
                }
            }
        }
    }

    void put_worker(
        const std::string& service, const std::string& zone, int number)
    {
        decision::steering::worker_entry entry;
        entry.id = worker_id(service, zone, number);
        entry.service = service;
        entry.address = {"10.0.0.1", 80};
        entry.zone = zone;
        entry.slots = 100;
        for (auto& view : views_)
        {
            view->put_worker(entry, now_);
        }
    }

    // The zone's workers report so many requests of others.
    void set_load(const std::string& zone, std::uint32_t running)
    {
        load_of_[zone] = running;
    }

    // The last `count` workers of the service "desk" in the zone leave.
    void remove_workers(const std::string& zone, int count)
    {
        for (int i = workers_per_zone - count; i < workers_per_zone; ++i)
        {
            for (auto& view : views_)
            {
                view->remove_worker(worker_id("desk", zone, i), now_);
            }
        }
    }

    void restart_all()
    {
        const auto count = static_cast<int>(views_.size());
        const auto entries = views_.front()->workers().all();
        views_.clear();
        for (int i = 0; i < count; ++i)
        {
            add_daemon(i);
            for (const auto& [id, worker] : entries)
            {
                views_.back()->put_worker(worker->entry(), now_);
            }
        }
    }

    // The objects that the first daemon's plan gives to the region.
    std::vector<std::string> objects_of(const std::string& region)
    {
        std::vector<std::string> found;
        auto& view = *views_.front();
        const auto& route = view.configuration().routes.front();
        for (const auto& object : objects_)
        {
            const auto worker = view.place({&route, "desk", object}, now_);
            if (!worker)
            {
                continue;
            }
            worker.value()->request_ended();
            if (view.region_of(worker.value()->entry().zone) == region)
            {
                found.push_back(object);
            }
        }
        return found;
    }
    // Requests are for these from now on.
    void set_objects(std::vector<std::string> objects)
    {
        objects_ = std::move(objects);
    }

    base::instant now() const { return now_; }

    // The largest change of a region's share from one window to the next, for
    // windows that lie between the times.
    double largest_change(base::instant from, base::instant to) const
    {
        double largest = 0;
        for (auto start = from; start + 2 * window <= to; start += window / 20)
        {
            for (const auto* region : {"isan", "lanna", "plain"})
            {
                const double change =
                    share(region, start + window) - share(region, start);
                largest = std::max(largest, change);
            }
        }
        return largest;
    }

    // Of the requests of all services, or of one.
    double share(
        const std::string& region,
        base::instant from,
        const std::string& service = {}) const
    {
        double there = 0;
        double all = 0;
        for (const auto& one : placed_)
        {
            const bool counts = service.empty() || one.service == service;
            if (counts && one.at >= from && one.at < from + window)
            {
                all += 1;
                there += one.region == region ? 1 : 0;
            }
        }
        return all > 0 ? there / all : 0;
    }

private:
    struct placed_request
    {
        base::instant at{};
        std::string region{};
        std::string service{};
    };

    static std::string worker_id(
        const std::string& service, const std::string& zone, int number)
    {
        return fmt::format("{}-{}-{}", service, zone, number);
    }

    static constexpr std::chrono::milliseconds step{10};
    static constexpr std::chrono::milliseconds round_interval{500};
    static constexpr base::instant begin{std::chrono::hours{1}};
    static constexpr int workers_per_zone = 20;
    static constexpr int object_count = 500;

    void add_daemon(int number)
    {
        auto options = test_options();
        options.region_step = max_shift;
        decision::steering::fleet_member self;
        self.name = fmt::format("daemon-{}", number);
        self.incarnation = 1;
        self.zone = "isan-a";
        self.region = "isan";
        views_.push_back(std::make_unique<front::fleet_view>(
            options,
            self,
            std::map<std::string, std::string>{
                {"isan-a", "isan"}, {"lanna-a", "lanna"}, {"plain-a", "plain"}},
            static_cast<std::uint64_t>(number) + 1));
        views_.back()->adopt(test_configuration());
    }

    void report_loads(front::fleet_view& view)
    {
        for (const auto& [id, worker] : view.workers().all())
        {
            const auto load = load_of_.find(worker->entry().zone);
            if (load != load_of_.end())
            {
                worker->report({.running = load->second}, now_);
            }
        }
    }

    void send(front::fleet_view& view)
    {
        const auto& route = view.configuration().routes.front();
        view.begin_request(route, now_);
        const auto& object = objects_[random_() % objects_.size()];
        const auto& service = services_[random_() % services_.size()];
        const auto worker = view.place({&route, service, object}, now_);
        if (worker)
        {
            placed_.push_back(
                {now_, view.region_of(worker.value()->entry().zone), service});
            worker.value()->request_ended();
        }
    }

    std::vector<std::unique_ptr<front::fleet_view>> views_;
    std::map<std::string, std::uint32_t> load_of_;
    std::vector<std::string> services_;
    std::vector<std::string> objects_;
    std::mt19937_64 random_{1};
    base::instant now_{begin};
    std::vector<placed_request> placed_;
};

} // namespace waxwingvalve::tests
