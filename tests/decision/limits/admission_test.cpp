// Tests admission control, worker limits and the split of caps.
#include <algorithm>
#include <array>
#include <numeric>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/limits/admission.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds max_run_time{2};

base::endpoint worker_at(std::uint16_t number)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
}

service_share make_service(
    std::uint16_t workers, std::uint32_t slots, std::uint32_t cap)
{
    const std::vector<std::uint32_t> worker_slots(workers, slots);
    const auto shares = split_cap(cap, worker_slots);
    service_share service{"hire-desk", max_run_time, {}};
    for (std::uint16_t i = 0; i < workers; ++i)
    {
        service.workers.push_back({worker_at(i), shares[i]});
    }
    return service;
}

std::uint32_t admit_all(admission& controller, base::instant now)
{
    std::uint32_t admitted{0};
    while (controller.admit("hire-desk", now))
    {
        ++admitted;
    }
    return admitted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_of_one_daemon)

BOOST_AUTO_TEST_CASE(shares_of_a_cap_add_up_to_the_cap)
{
    BOOST_TEST(rc::check(
        "shares add up to the cap and stay within the slots",
        []
        {
            const auto slots = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::uint32_t>>(
                    rc::gen::inRange<std::uint32_t>(0, 9)));
            const auto total =
                std::accumulate(slots.begin(), slots.end(), std::uint32_t{0});
            const auto cap = *rc::gen::inRange<std::uint32_t>(0, total + 3);
            const auto shares = split_cap(cap, slots);
            RC_ASSERT(
                std::accumulate(
                    shares.begin(), shares.end(), std::uint32_t{0}) ==
                std::min(cap, total));
            for (std::size_t i = 0; i < slots.size(); ++i)
            {
                RC_ASSERT(shares[i] <= slots[i]);
            }
        }));
}

BOOST_AUTO_TEST_CASE(slow_start_grows_with_answers_and_not_with_time)
{
    admission controller;
    base::instant now{};
    controller.set_owned_workers(std::vector{make_service(1, 4, 4)}, now);
    now += max_run_time;
    BOOST_TEST(admit_all(controller, now) == 1U);
    now += seconds{60};
    BOOST_TEST(admit_all(controller, now) == 0U);
    auto* limit = controller.find_limit(worker_at(0));
    for (int answer = 0; answer < 1 + 2 + 3; ++answer)
    {
        limit->note_answer();
    }
    BOOST_TEST(admit_all(controller, now) == 3U);
}

BOOST_AUTO_TEST_CASE(requests_of_an_earlier_owner_occupy_slots)
{
    admission controller;
    const base::instant now{};
    controller.set_owned_workers(std::vector{make_service(1, 4, 4)}, now);
    BOOST_TEST(admit_all(controller, now) == 0U);
    auto* limit = controller.find_limit(worker_at(0));
    limit->note_report({false, 4, 1}, 0);
    BOOST_TEST(admit_all(controller, now) == 0U);
    limit->note_report({false, 3, 1}, 0);
    BOOST_TEST(admit_all(controller, now) == 1U);
}

BOOST_AUTO_TEST_CASE(backoff_after_refusals_is_at_most_500_ms)
{
    admission controller;
    base::instant now{};
    controller.set_owned_workers(std::vector{make_service(1, 4, 4)}, now);
    now += max_run_time;
    auto* limit = controller.find_limit(worker_at(0));
    limit->note_refusal(now);
    BOOST_TEST(admit_all(controller, now) == 0U);
    for (int refusal = 0; refusal < 20; ++refusal)
    {
        now += seconds{1};
        limit->note_refusal(now);
    }
    now += milliseconds{500};
    BOOST_TEST(admit_all(controller, now) == 1U);
}

BOOST_AUTO_TEST_CASE(one_drain_source_stops_admission)
{
    worker_limit limit{4, base::instant{}, max_run_time};
    const auto now = base::instant{} + max_run_time;
    BOOST_TEST(limit.max_concurrent(now) == 1U);
    limit.set_draining(drain_source::record, true);
    limit.note_report({false, 0, 1}, 0);
    BOOST_TEST(limit.max_concurrent(now) == 0U);
    limit.set_draining(drain_source::record, false);
    BOOST_TEST(limit.max_concurrent(now) == 1U);
}

BOOST_AUTO_TEST_CASE(a_wrong_report_still_admits_one_request)
{
    worker_limit limit{4, base::instant{}, max_run_time};
    limit.note_report({false, 999, 1}, 0);
    BOOST_TEST(limit.max_concurrent(base::instant{}) == 0U);
    BOOST_TEST(limit.max_concurrent(base::instant{} + max_run_time) == 1U);
}

// Model of a zone with two daemons. Random steps admit and end requests, report
// answers, refusals and health, and move workers between the daemons. `runs`
// holds the requests that really run on each worker.
struct zone_model
{
    static constexpr std::uint16_t workers = 3;

    struct run
    {
        admission* daemon{};
        base::endpoint on{};
        base::instant started_at{};
    };

    zone_model(std::uint32_t slots, std::uint32_t cap)
        : service{make_service(workers, slots, cap)}, owner(workers, 0)
    {
        hand_over();
    }

    std::uint32_t running_on(const base::endpoint& worker) const
    {
        return static_cast<std::uint32_t>(std::ranges::count(
            runs, worker, [](const run& request) { return request.on; }));
    }

    void hand_over()
    {
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
        {
            service_share owned{service.service, service.max_run_time, {}};
            for (std::size_t worker = 0; worker < workers; ++worker)
            {
                if (owner[worker] == daemon)
                {
                    owned.workers.push_back(service.workers[worker]);
                }
            }
            daemons[daemon].set_owned_workers(std::vector{owned}, now);
        }
    }

    void end(std::size_t index)
    {
        runs[index].daemon->release(runs[index].on);
        runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void pass_time(base::duration time)
    {
        now += time;
        for (std::size_t index = runs.size(); index-- > 0;)
        {
            if (now - runs[index].started_at >= max_run_time)
            {
                end(index);
            }
        }
    }

    service_share service;
    std::vector<std::size_t> owner;
    std::array<admission, 2> daemons;
    std::vector<run> runs;
    base::instant now{};
};

void step(zone_model& zone, bool reports_may_understate)
{
    zone.pass_time(milliseconds{*rc::gen::inRange(0, 300)});
    const auto index = *rc::gen::inRange<std::uint16_t>(0, zone.workers);
    const auto worker = worker_at(index);
    auto& daemon = zone.daemons[zone.owner[index]];
    auto& limit = *daemon.find_limit(worker);
    const auto running = zone.running_on(worker);
    switch (*rc::gen::inRange(0, 9))
    {
    case 0:
        for (int answer = 0; answer < 9; ++answer)
        {
            limit.note_answer();
        }
        break;
    case 1:
        limit.note_refusal(zone.now);
        break;
    case 2:
    case 3:
        limit.note_report(
            {*rc::gen::inRange(0, 4) == 0,
             *rc::gen::inRange<std::uint32_t>(
                 reports_may_understate ? 0 : running, running + 3),
             *rc::gen::inRange<std::uint64_t>(0, 3)},
            daemon.take_peak_in_use(worker));
        break;
    case 4:
        if (!zone.runs.empty())
        {
            zone.end(*rc::gen::inRange<std::size_t>(0, zone.runs.size()));
        }
        break;
    case 5:
        zone.owner[index] = 1 - zone.owner[index];
        zone.hand_over();
        break;
    default:
        if (const auto admitted = daemon.admit("hire-desk", zone.now))
        {
            zone.runs.push_back({&daemon, *admitted, zone.now});
        }
    }
}

BOOST_AUTO_TEST_CASE(slots_and_cap_hold_while_workers_change_owners)
{
    BOOST_TEST(rc::check(
        "slots and cap hold over two daemons",
        []
        {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 7);
            const auto cap = *rc::gen::inRange<std::uint32_t>(
                0, zone_model::workers * slots + 1);
            zone_model zone{slots, cap};
            const auto steps = *rc::gen::inRange(0, 300);
            for (int i = 0; i < steps; ++i)
            {
                step(zone, false);
                for (const auto& worker : zone.service.workers)
                {
                    RC_ASSERT(zone.running_on(worker.address) <= slots);
                }
                RC_ASSERT(zone.runs.size() <= cap);
            }
        }));
}

// Health reports may be wrong in any way, so the requests that an earlier owner
// left running are bounded only by time. An owner's own requests must still
// stay within the slots.
BOOST_AUTO_TEST_CASE(own_requests_stay_within_slots_whatever_is_reported)
{
    BOOST_TEST(rc::check(
        "no owner exceeds a worker's slots",
        []
        {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 7);
            zone_model zone{slots, zone_model::workers * slots};
            const auto steps = *rc::gen::inRange(0, 300);
            for (int i = 0; i < steps; ++i)
            {
                step(zone, true);
                for (const auto& worker : zone.service.workers)
                {
                    RC_ASSERT(zone.daemons[0].in_use(worker.address) <= slots);
                    RC_ASSERT(zone.daemons[1].in_use(worker.address) <= slots);
                }
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()
