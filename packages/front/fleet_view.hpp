// What one daemon knows of the fleet, and the choice of a worker from it:
// configuration, workers, zones that are taken out, other daemons, budgets.
//
// Everything here runs on the daemon's one event loop.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"
#include "decision/steering/cold_worker_limiter.hpp"
#include "decision/steering/configuration.hpp"
#include "decision/steering/crash_gossip.hpp"
#include "decision/steering/crash_tracker.hpp"
#include "decision/steering/fleet_members.hpp"
#include "decision/steering/fleet_retry_budget.hpp"
#include "decision/steering/region_plan.hpp"
#include "decision/steering/region_shift_limiter.hpp"
#include "decision/steering/spillover_gate.hpp"
#include "decision/steering/split_picker.hpp"
#include "decision/steering/utilization_limit.hpp"
#include "decision/steering/worker_choice.hpp"
#include "decision/steering/worker_table.hpp"

namespace waxwingvalve::front
{

namespace steering = decision::steering;

struct fleet_terms
{
    steering::fleet_retry_budget_settings retry_budget{};
    // Daemons assumed to live while fewer are known.
    std::size_t least_daemons{16};
    // Share of a region's requests that may change the region in which they
    // run, from one window to the next.
    double region_step{0.15};
    steering::choice_policy choice{};
};

// What the choice needs to know of a request.
struct placement_request
{
    const steering::route* route{};
    std::string_view service{};
    std::string_view object{};
    // Ids of workers that were tried before.
    std::span<const std::string> tried{};
};

class fleet_view
{
public:
    using worker_ptr = steering::worker_table::worker_ptr;

    fleet_view(
        fleet_terms terms,
        steering::fleet_member self,
        std::map<std::string, std::string> region_of_zone,
        std::uint64_t seed);

    // False when the daemon has this version or a newer one already.
    bool adopt(steering::configuration next);
    bool configured() const { return configuration_.version != 0; }
    const steering::configuration& configuration() const
    {
        return configuration_;
    }
    const steering::route_table& routes() const { return routes_; }

    steering::entry_change put_worker(
        steering::worker_entry entry, base::instant now);
    bool remove_worker(const std::string& id, base::instant now);
    const steering::worker_table& workers() const { return workers_; }

    void evacuate(const std::string& zone, base::instant now);
    void take_back(const std::string& zone, base::instant now);
    const std::set<std::string>& evacuated() const { return evacuated_; }

    // Counts a request for the route and names the service that runs it.
    std::string begin_request(const steering::route& route, base::instant now);

    // The worker for a request; it counts the request until request_ended.
    // Errors: no_upstream (none may take it), no_room.
    base::result<worker_ptr> place(
        const placement_request& request, base::instant now);

    // An answer for the service came after `took`, which the route wants
    // within `target`.
    void note_answer(
        const std::string& service, base::duration took, base::duration target);

    // A worker reported its load with an answer.
    void note_load(
        steering::worker& from,
        const steering::load_report& load,
        base::instant now);

    // A request to the worker was answered, well or not.
    void note_outcome(steering::worker& by, bool failed, base::instant now);
    // It had no answer within its time.
    void note_timeout(steering::worker& by, base::instant now);
    // The worker's address takes no connection, or is another worker's.
    void note_unreachable(steering::worker& one, base::instant now);

    // True when a further send may be made to the service; it is counted.
    bool spend_retry(const std::string& service, base::instant now);

    std::string region_of(const std::string& zone) const;

    // Refreshes what is derived from the list of live daemons, and tells them
    // how many requests come here.
    void refresh_members(base::instant now);

    steering::fleet_members members;
    steering::crash_tracker crashes;
    steering::crash_gossip news;

private:
    bool may_serve(
        const steering::worker& one,
        const placement_request& request,
        bool accept_failing,
        base::instant now) const;
    std::vector<steering::worker_candidate> candidates(
        std::span<const worker_ptr* const> workers,
        const placement_request& request,
        bool accept_failing,
        base::instant now) const;
    // The first worker with room, region by region.
    struct placement
    {
        worker_ptr chosen{};
        // Workers that may take the request, and those of them with room.
        std::size_t candidates{0};
        std::size_t with_room{0};
    };
    placement place_among(
        const placement_request& request,
        const steering::region_plan& plan,
        bool accept_failing,
        base::instant now);
    bool home_allows(
        const steering::route& route, std::string_view region) const;
    bool take(
        steering::worker& one,
        const placement_request& request,
        std::string_view region,
        const steering::region_plan& plan,
        base::instant now);
    void measure_requests(base::instant now);
    void count_outcome(const std::string& service, bool failed);
    // Valid as long as the list of workers.
    std::vector<const worker_ptr*> workers_in(
        std::string_view service, std::string_view region) const;
    std::vector<steering::region_supply> supplies(
        std::string_view service, base::instant now) const;
    bool take_limited(
        steering::worker& one,
        const placement_request& request,
        base::instant now);
    std::size_t daemons() const;
    bool urgent(const steering::route& route) const;

    fleet_terms terms_;
    std::map<std::string, std::string> region_of_zone_;
    steering::configuration configuration_;
    steering::route_table routes_;
    steering::worker_table workers_;
    // Lowest priority number of the routes of each service.
    std::map<std::string, std::uint32_t> highest_rank_;
    std::set<std::string> evacuated_;
    steering::split_picker splits_;
    steering::cold_worker_limiter cold_pace_;
    steering::region_shift_limiter region_pace_;
    std::map<std::string, steering::fleet_retry_budget> budgets_;
    std::map<std::string, steering::utilization_limit> limits_;
    // By service and region.
    std::map<std::string, std::map<std::string, steering::spillover_gate>>
        spill_gates_;
    // Share of failures among the answers of all workers of a service.
    std::map<std::string, double> failing_;
    std::map<std::string, steering::region_plan, std::less<>> plans_;
    std::vector<std::string> live_names_;
    // Requests of callers since the rate was measured.
    std::uint32_t requests_{0};
    double requests_per_s_{0};
    base::instant measured_at_{};
};

} // namespace waxwingvalve::front
