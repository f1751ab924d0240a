// Carries one request to workers or peers and its answer back: retries,
// hedges, deadlines, and requests that end the workers which run them.
//
// A request is repeated only by the daemon that a caller sent it to, never by
// a peer that it was passed to, so that budgets do not multiply.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "daemon/figures.hpp"
#include "daemon/serving/answers.hpp"
#include "daemon/serving/attempt_race.hpp"
#include "daemon/serving/attempt_result.hpp"
#include "daemon/serving/job.hpp"
#include "daemon/serving/placement.hpp"
#include "decision/retries/latency_window.hpp"
#include "decision/retries/poison_table.hpp"
#include "decision/retries/retry_budget.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

class attempts
{
public:
    attempts(
        const schema::daemon_settings& settings,
        placement& places,
        figures& counts);

    // The upstream's whole answer, or one of the system's own that says
    // whether the request ran.
    boost::asio::awaitable<finished> run(job& work);

    // What this daemon reports of requests that end workers, for
    // member_report.poison_digests.
    std::vector<decision::retries::request_digest> poison_digests() const;

private:
    // What is known of one service's attempts.
    struct service_state
    {
        decision::retries::retry_budget budget;
        decision::retries::service_latency latency{};
    };

    // What an attempt has to know of its request; a cancelled attempt may
    // outlive the job, so it holds nothing of it.
    struct order
    {
        service_state* state{};
        std::string service{};
        base::instant deadline{};
        bool idempotent{};
        bool may_pass{};
        schema::priority priority{};
        decision::retries::request_digest digest{};
        std::uint32_t hedge_percentile{};
    };

    // When a branch starts beside one that has not answered.
    struct race_times
    {
        base::instant hedge_at{};
        base::instant stalled_at{};
    };

    // Attempts of one request so far.
    struct progress
    {
        const net::http_request& request;
        std::vector<base::endpoint> tried{};
        // What to answer when nothing better comes: a whole answer that
        // reports a failure before a refusal.
        std::optional<finished> answer{};
    };

    // What placement has to know of the request.
    static place_request request_of(
        const order& in, std::vector<base::endpoint> avoid);

    service_state& state_of(const schema::service& service);
    std::uint32_t told_by_members(
        decision::retries::request_digest digest) const;

    boost::asio::awaitable<finished> run_once(const order& in, job& work);
    boost::asio::awaitable<finished> run_race(const order& in, job& work);
    boost::asio::awaitable<finished> run_suspect(const order& in, job& work);
    boost::asio::awaitable<attempt_result> run_reserved(
        const order& in, slot_hold hold, const net::http_request& request);

    static race_times times_of(const order& in, base::instant now);

    boost::asio::awaitable<bool> may_run_alone(const order& in);

    // Waits while another copy of the request runs alone.
    boost::asio::awaitable<decision::retries::poison_verdict> admit(
        const order& in);

    void start_branch(
        attempt_race& race,
        const order& in,
        progress& so_far,
        placed chosen,
        exchange_options options);
    // A branch on a new connection; false when no worker or peer can take it
    // at once.
    bool start_another(attempt_race& race, const order& in, progress& so_far);
    // Branches beside one that has not answered yet.
    void start_beside(
        attempt_race& race,
        const order& in,
        progress& so_far,
        race_times& times);
    void hedge(attempt_race& race, const order& in, progress& so_far);
    void replace_stalled(attempt_race& race, const order& in, progress& so_far);
    // Takes a failed attempt in; false when no other one runs or follows.
    bool go_on(
        attempt_race& race,
        const order& in,
        progress& so_far,
        const attempt_result& ended);
    // A branch after one that failed.
    bool retry(
        attempt_race& race,
        const order& in,
        progress& so_far,
        const attempt_result& failed);

    static void count_losers(
        const attempt_race& race, const order& in, base::instant winner_began);

    boost::asio::awaitable<attempt_result> run_at(
        placed& where,
        net::http_request request,
        order in,
        exchange_options options,
        std::shared_ptr<race_branch> branch);
    boost::asio::awaitable<attempt_result> run_here(
        slot_hold& hold,
        net::http_request request,
        order in,
        exchange_options options,
        std::shared_ptr<race_branch> branch);
    boost::asio::awaitable<attempt_result> pass_on(
        const peer_target& peer, net::http_request request, order in);
    // Finds out whether the worker died, and who is to blame.
    boost::asio::awaitable<attempt_result> examine_loss(
        worker_pool& pool, running_mark& mark, attempt_result lost);

    std::string next_attempt_id();

    const schema::daemon_settings& settings_;
    placement& places_;
    figures& counts_;
    std::map<std::string, service_state, std::less<>> services_;
    decision::retries::poison_table poison_;
    std::uint64_t last_attempt_{0};
};

} // namespace waxwingvalve::daemon::serving
