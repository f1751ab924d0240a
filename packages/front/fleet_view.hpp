// A daemon's view of the fleet (configuration, workers, evacuated zones, other
// daemons, retry budgets) and the selection of a worker for each request.
//
// Not thread-safe: used only from the daemon's event loop.
#pragma once

#include <algorithm>
#include <functional>
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
#include "decision/accounts/account_table.hpp"
#include "decision/quotas/quota_limit.hpp"
#include "decision/steering/cold_news.hpp"
#include "decision/steering/cold_worker_limiter.hpp"
#include "decision/steering/cold_zones.hpp"
#include "decision/steering/configuration.hpp"
#include "decision/steering/crash_gossip.hpp"
#include "decision/steering/crash_tracker.hpp"
#include "decision/steering/fleet_members.hpp"
#include "decision/steering/fleet_retry_budget.hpp"
#include "decision/steering/rate_limit_pacer.hpp"
#include "decision/steering/rate_limit_table.hpp"
#include "decision/steering/region_plan.hpp"
#include "decision/steering/region_shift_limiter.hpp"
#include "decision/steering/return_schedule.hpp"
#include "decision/steering/spillover_gate.hpp"
#include "decision/steering/split_picker.hpp"
#include "decision/steering/utilization_limit.hpp"
#include "decision/steering/worker_choice.hpp"
#include "decision/steering/worker_table.hpp"
#include "front/request_fields.hpp"

namespace waxwingvalve::front
{

namespace steering = decision::steering;

// Settings of the fleet view.
struct fleet_options
{
    steering::fleet_retry_budget_settings retry_budget{};
    // Lower bound on the fleet size that per-daemon shares are computed from,
    // used while fewer daemons have been seen.
    std::size_t min_daemons{16};
    // Maximum change per window in the share of requests that go to a region.
    double region_step{0.15};
    steering::choice_policy choice{};
    // Whether keys of client accounts stop counting once it is not known for
    // revocation_time whether the configuration is the newest.
    bool strict_revocation{false};
    base::duration revocation_time{std::chrono::seconds{5}};
    decision::quotas::quota_terms quota{};
};

// Inputs to worker selection for one request.
struct placement_request
{
    const steering::route* route{};
    std::string_view service{};
    std::string_view object{};
    // Ids of workers that earlier attempts were sent to; these are skipped.
    std::span<const std::string> tried{};
    // The caller's account, if it has named one.
    const decision::accounts::client_account* account{};
};

// Tracks the fleet and assigns requests to workers.
class fleet_view
{
public:
    using worker_ptr = steering::worker_table::worker_ptr;

    fleet_view(
        fleet_options options,
        steering::fleet_member self,
        std::map<std::string, std::string> region_of_zone,
        std::uint64_t seed);

    // Replaces the configuration; returns false if the current version is the
    // same or newer.
    bool adopt(steering::configuration next);
    bool configured() const { return configuration_.version != 0; }
    const steering::configuration& configuration() const
    {
        return configuration_;
    }
    const steering::route_table& routes() const { return routes_; }
    const decision::accounts::account_table& accounts() const
    {
        return accounts_;
    }

    const decision::quotas::quota_terms& quota_terms() const
    {
        return options_.quota;
    }
    // The quota of an account; nothing if it has none.
    std::optional<decision::quotas::quota_limit> quota_of(
        decision::quotas::account_digest account) const;

    // Records that the configuration was the newest at this time.
    void note_configuration_current(base::instant at)
    {
        configuration_current_at_ = std::max(configuration_current_at_, at);
    }
    // Whether a key of the configuration may be taken for one in force.
    bool keys_confirmed(base::instant now) const
    {
        return !options_.strict_revocation ||
               now - configuration_current_at_ <= options_.revocation_time;
    }

    steering::entry_change put_worker(
        steering::worker_entry entry, base::instant now);
    bool remove_worker(const std::string& id, base::instant now);
    const steering::worker_table& workers() const { return workers_; }

    // Stops sending requests to workers of the zone. Its workers are treated as
    // cold until they report otherwise.
    void evacuate_zone(const std::string& zone, base::instant now);
    // Allows requests to the zone again; its workers start cold.
    void restore_zone(const std::string& zone, base::instant now);
    const std::set<std::string>& evacuated_zones() const
    {
        return evacuated_zones_;
    }

    // Counts a request for the route and returns the service that runs it,
    // chosen by the route's traffic split.
    std::string begin_request(const steering::route& route, base::instant now);

    // Selects a worker for a request and counts the request as in flight there
    // until worker::request_ended.
    // Errors: no_upstream (no worker is eligible), no_room.
    base::result<worker_ptr> place(
        const placement_request& request, base::instant now);

    // Whether a request that was placed at the worker at `placed_at` may still
    // be sent there: a configuration, an evacuation, the worker's end, a rate
    // limit or a cold time may have come between. Counts it against the limits
    // of these.
    bool may_send(
        const steering::worker& worker,
        const placement_request& request,
        base::instant placed_at,
        base::instant now);

    // Records the latency of an answer against the route's target latency.
    void record_latency(
        const std::string& service,
        base::duration latency,
        base::duration target);

    // When discovery tells what the workers report.
    struct discovery_times
    {
        base::instant from{};
        base::instant until{base::instant::max()};
    };
    // Whether it does now. If not, workers have to be asked.
    bool discovery_current(base::instant now) const
    {
        return now >= discovery_.from && now < discovery_.until;
    }
    void set_discovery_current(const discovery_times& times)
    {
        discovery_ = times;
    }

    // Whether the worker gets requests, and tolerates fewer of them when it is
    // cold.
    bool may_be_cold(const steering::worker& worker) const;
    // When workers of the zone were seen to have become cold; nothing if they
    // aren't cold any more.
    std::optional<base::instant> zone_cold_since(
        std::string_view zone, base::instant now) const
    {
        return cold_zones_.cold_since(zone, now);
    }
    // Workers that are taken for cold although they haven't said so. They have
    // to be asked.
    std::vector<worker_ptr> workers_in_doubt(base::instant now);
    // Records for how long a worker stays cold.
    void record_cold_time(
        steering::worker& worker,
        const steering::cold_statement& said,
        base::instant now);

    // Records what another daemon has read in an answer, or assumes.
    void record_cold_worker(const schema::cold_worker& said, base::instant now);

    // Records the load that a worker reported with an answer.
    void record_load(
        steering::worker& worker,
        const steering::load_report& load,
        base::instant now);

    // Records that this incarnation of the worker said that it leaves. It gets
    // no further request.
    void record_leaving(
        steering::worker& worker, std::uint64_t incarnation_digest);

    // Records what an answer of this incarnation says of the request rate that
    // the worker takes. The answer's request was sent at `sent_at`.
    void record_rate_limit(
        const steering::worker& worker,
        std::uint64_t incarnation_digest,
        const rate_limit_field& said,
        base::instant sent_at,
        base::instant now);
    // Records what another daemon has read in an answer.
    void record_rate_limit(
        const schema::rate_limit_statement& said,
        std::string_view told_by,
        base::instant now);
    // What the next round of heartbeats says of rate limits.
    std::vector<schema::rate_limit_statement> rate_limit_news(base::instant now)
    {
        return rate_limits_.next_round(now);
    }

    // Time after which a caller that is refused now may return: if all workers
    // that could serve it have asked to be left alone, until the first one
    // takes requests again; if they limit their rate, the next turn.
    base::duration return_after(std::string_view service, base::instant now);

    // Whether at least half of the worker's service still gets requests from
    // this daemon if it doesn't.
    bool may_leave_out(const steering::worker& worker, base::instant now) const;

    // What follows names the incarnation that the request was sent to. What
    // became of it speaks neither for nor against another one.

    // Records whether the worker answered a request or failed it.
    void record_outcome(
        steering::worker& worker,
        std::uint64_t incarnation_digest,
        bool failed,
        base::instant now);
    // Records that the worker did not answer before the deadline.
    void record_timeout(
        steering::worker& worker,
        std::uint64_t incarnation_digest,
        base::instant now);
    // Records that the worker's address can't be reached or belongs to another
    // worker.
    void record_unreachable(
        steering::worker& worker,
        std::uint64_t incarnation_digest,
        base::instant now);
    // Records that contact with this incarnation of the worker was lost. What
    // starts again at its address is cold, whoever hears of it first.
    void record_lost_contact(
        steering::worker& worker,
        std::uint64_t incarnation_digest,
        const steering::lost_contact& lost,
        base::instant now);
    // Records an answer of this incarnation, whatever it says.
    void record_contact(
        steering::worker& worker,
        std::uint64_t incarnation_digest,
        const steering::contact_proof& proof,
        base::instant now);
    // Records that a daemon or a worker was heard.
    void note_heard(base::instant now) { heard_at_ = now; }

    // Takes one retry from the service's budget; returns false if the budget is
    // exhausted.
    bool spend_retry(const std::string& service, base::instant now);

    std::string region_of(const std::string& zone) const;

    // Updates the state derived from the list of live daemons, and the request
    // rate that this daemon publishes to them.
    void refresh_members(base::instant now);

    steering::fleet_members members;
    steering::crash_tracker crashes;
    steering::crash_gossip crash_gossip;
    // What the others have to be told of cold workers.
    steering::cold_news cold_news;

    // Called when cold_news or workers_in_doubt() have something new.
    void on_cold_news(std::function<void()> handler)
    {
        cold_news_handler_ = std::move(handler);
    }

private:
    // Follows the limit of the worker: how much of it this daemon may send.
    void pace_worker(
        const steering::worker& worker, bool just_sent, base::instant now);
    void pace_workers(base::instant now);
    std::uint64_t digest_of_pace_input(base::instant now) const;
    worker_ptr find_incarnation(std::uint64_t digest) const;
    // Workers of the service that could serve it but for their rate limits.
    struct rate_limited_workers
    {
        std::size_t count{0};
        double requests_per_s{0};
    };
    rate_limited_workers rate_limited(std::string_view service) const;
    bool usable(const steering::worker& worker) const;
    // What this daemon knows of those that send to workers.
    steering::sender_view senders(base::instant now) const;
    // The worker has ended, so that it is cold when it is back. Tells the
    // others.
    void record_ended(
        steering::worker& worker,
        const steering::lost_contact& lost,
        base::instant now);
    // How long a worker that may have ended is assumed to be cold.
    base::duration assumed_cold_time(const steering::worker& worker) const;
    // The worker may have started again. This daemon asks it.
    void record_reset(steering::worker& worker, base::instant now);
    // Has the worker asked, if it is in doubt.
    void note_doubt(const steering::worker& worker, base::instant now);
    // Counts a request to a cold worker, if it may be sent now.
    bool acquire_cold(const steering::worker& worker, base::instant now);
    void log_rate_limit(
        std::uint64_t worker,
        steering::rate_limit_change change,
        std::string_view told_by) const;
    // What is observed and planned for one service.
    struct service_state
    {
        steering::fleet_retry_budget retry_budget{};
        steering::utilization_limit utilization_limit{};
        // Keyed by region.
        std::map<std::string, steering::spillover_gate, std::less<>>
            spillover_gates{};
        // Moving average of the share of failed requests.
        double failure_share{0};
        // Without shares until the first request.
        steering::region_plan plan{};
        // Of the service's requests alone: a change of its capacity lifts the
        // limit for these.
        steering::region_shift_limiter region_shift_limiter{};
        steering::return_schedule return_schedule{};
    };
    service_state& state_of(std::string_view service);

    bool may_serve(
        const steering::worker& worker,
        const placement_request& request,
        bool accept_failing,
        base::instant now) const;
    std::vector<steering::worker_candidate> candidates(
        std::span<const worker_ptr* const> workers,
        const placement_request& request,
        bool accept_failing,
        base::instant now) const;
    // Result of searching the regions in order of preference.
    struct placement
    {
        worker_ptr chosen{};
        // Number of eligible workers, and of those with free slots.
        std::size_t candidates{0};
        std::size_t with_free_slots{0};
    };
    placement place_among(
        const placement_request& request,
        service_state& service,
        bool accept_failing,
        base::instant now);
    // Whether the homes of the route and those of the account, if there are
    // any, both hold the region.
    static bool home_region_allows(
        const placement_request& request, std::string_view region);
    // The regions that may run the request, in order of preference.
    std::vector<std::string_view> regions_for(
        const placement_request& request, const service_state& service) const;
    // `limits_shift`: whether the limit on changes of region applies.
    bool try_assign(
        steering::worker& worker,
        const placement_request& request,
        std::string_view region,
        bool limits_shift,
        base::instant now);
    void update_request_rate(base::instant now);
    // The pointers are valid until the list of workers changes.
    std::vector<const worker_ptr*> workers_in(
        std::string_view service, std::string_view region) const;
    std::vector<steering::region_supply> region_supplies(
        std::string_view service, base::instant now) const;
    bool take_rate_limited(
        steering::worker& worker,
        const placement_request& request,
        base::instant now);
    std::size_t daemon_count() const;
    bool has_highest_priority(const placement_request& request) const;

    fleet_options options_;
    std::map<std::string, std::string> region_of_zone_;
    steering::configuration configuration_;
    steering::route_table routes_;
    const decision::accounts::table_secret account_secret_;
    decision::accounts::account_table accounts_;
    std::map<decision::quotas::account_digest, decision::quotas::quota_limit>
        quotas_;
    base::instant configuration_current_at_{};
    steering::worker_table workers_;
    discovery_times discovery_{};
    // When a daemon or a worker was heard last.
    base::instant heard_at_{};
    // Priority of the most important route of each service; lower numbers are
    // more important.
    std::map<std::string, std::uint32_t> highest_priority_;
    std::set<std::string> evacuated_zones_;
    steering::split_picker split_picker_;
    steering::cold_zones cold_zones_;
    // Ids of workers that were in doubt and may still be.
    std::set<std::string> doubted_;
    std::function<void()> cold_news_handler_{[] {}};
    steering::cold_worker_limiter cold_worker_limiter_;
    steering::rate_limit_table rate_limits_;
    steering::rate_limit_pacer rate_limit_pacer_;
    std::map<std::string, service_state, std::less<>> services_;
    std::vector<steering::fleet_members::known_member> known_daemons_;
    // Of the daemons and limits that the pace was last computed from.
    std::uint64_t pace_digest_{0};
    // Requests received since the rate was last measured.
    std::uint32_t requests_since_measured_{0};
    double requests_per_s_{0};
    base::instant rate_measured_at_{};
};

} // namespace waxwingvalve::front
