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

service_share share_of(
    std::uint16_t workers, std::uint32_t slots, std::uint32_t cap)
{
    const std::vector<std::uint32_t> all(workers, slots);
    const auto parts = split_cap(cap, all);
    service_share out{"hire-desk", max_run_time, {}};
    for (std::uint16_t at = 0; at < workers; ++at)
    {
        out.workers.push_back({worker_at(at), parts[at]});
    }
    return out;
}

std::uint32_t admit_all(admission& one, base::instant now)
{
    std::uint32_t out{0};
    while (one.admit("hire-desk", now))
    {
        ++out;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_of_one_daemon)

BOOST_AUTO_TEST_CASE(parts_of_a_cap_add_up_to_it)
{
    BOOST_TEST(rc::check(
        "parts add up to the cap and stay within the slots",
        []
        {
            const auto slots = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::uint32_t>>(
                    rc::gen::inRange<std::uint32_t>(0, 9)));
            const auto total =
                std::accumulate(slots.begin(), slots.end(), std::uint32_t{0});
            const auto cap = *rc::gen::inRange<std::uint32_t>(0, total + 3);
            const auto parts = split_cap(cap, slots);
            RC_ASSERT(
                std::accumulate(parts.begin(), parts.end(), std::uint32_t{0}) ==
                std::min(cap, total));
            for (std::size_t at = 0; at < slots.size(); ++at)
            {
                RC_ASSERT(parts[at] <= slots[at]);
            }
        }));
}

BOOST_AUTO_TEST_CASE(a_new_worker_ramps_by_answers_and_not_by_time)
{
    admission one;
    base::instant now{};
    one.set_owned_workers(std::vector{share_of(1, 4, 4)}, now);
    now += max_run_time;
    BOOST_TEST(admit_all(one, now) == 1U);
    now += seconds{60};
    BOOST_TEST(admit_all(one, now) == 0U);
    auto* limit = one.find_limit(worker_at(0));
    for (int answer = 0; answer < 1 + 2 + 3; ++answer)
    {
        limit->note_answer();
    }
    BOOST_TEST(admit_all(one, now) == 3U);
}

BOOST_AUTO_TEST_CASE(a_taken_over_worker_counts_its_earlier_requests)
{
    admission one;
    const base::instant now{};
    one.set_owned_workers(std::vector{share_of(1, 4, 4)}, now);
    BOOST_TEST(admit_all(one, now) == 0U);
    auto* limit = one.find_limit(worker_at(0));
    limit->note_report({false, 4, 1}, 0);
    BOOST_TEST(admit_all(one, now) == 0U);
    limit->note_report({false, 3, 1}, 0);
    BOOST_TEST(admit_all(one, now) == 1U);
}

BOOST_AUTO_TEST_CASE(a_worker_that_sheds_rests_and_recovers_quickly)
{
    admission one;
    base::instant now{};
    one.set_owned_workers(std::vector{share_of(1, 4, 4)}, now);
    now += max_run_time;
    auto* limit = one.find_limit(worker_at(0));
    limit->note_refusal(now);
    BOOST_TEST(admit_all(one, now) == 0U);
    for (int again = 0; again < 20; ++again)
    {
        now += seconds{1};
        limit->note_refusal(now);
    }
    now += milliseconds{500};
    BOOST_TEST(admit_all(one, now) == 1U);
}

BOOST_AUTO_TEST_CASE(any_source_of_a_drain_is_enough)
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

BOOST_AUTO_TEST_CASE(a_wrong_report_leaves_a_trial_request)
{
    worker_limit limit{4, base::instant{}, max_run_time};
    limit.note_report({false, 999, 1}, 0);
    BOOST_TEST(limit.max_concurrent(base::instant{}) == 0U);
    BOOST_TEST(limit.max_concurrent(base::instant{} + max_run_time) == 1U);
}

// Two daemons of a zone under random admissions, ends, answers, refusals,
// reports and hand-overs; the truth is what really runs on each worker.
struct zone_model
{
    static constexpr std::uint16_t workers = 3;

    struct run
    {
        admission* by{};
        base::endpoint on{};
        base::instant began{};
    };

    zone_model(std::uint32_t slots, std::uint32_t cap)
        : all{share_of(workers, slots, cap)}, owner(workers, 0)
    {
        hand_over();
    }

    std::uint32_t running_on(const base::endpoint& worker) const
    {
        return static_cast<std::uint32_t>(std::ranges::count(
            runs, worker, [](const run& one) { return one.on; }));
    }

    void hand_over()
    {
        for (std::size_t at = 0; at < daemons.size(); ++at)
        {
            service_share own{all.service, all.max_run_time, {}};
            for (std::size_t worker = 0; worker < workers; ++worker)
            {
                if (owner[worker] == at)
                {
                    own.workers.push_back(all.workers[worker]);
                }
            }
            daemons[at].set_owned_workers(std::vector{own}, now);
        }
    }

    void end(std::size_t at)
    {
        runs[at].by->release(runs[at].on);
        runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(at));
    }

    void pass_time(base::duration time)
    {
        now += time;
        for (std::size_t at = runs.size(); at-- > 0;)
        {
            if (now - runs[at].began >= max_run_time)
            {
                end(at);
            }
        }
    }

    service_share all;
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
    const auto truth = zone.running_on(worker);
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
                 reports_may_understate ? 0 : truth, truth + 3),
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
        if (const auto got = daemon.admit("hire-desk", zone.now))
        {
            zone.runs.push_back({&daemon, *got, zone.now});
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
            for (int at = 0; at < steps; ++at)
            {
                step(zone, false);
                for (const auto& one : zone.all.workers)
                {
                    RC_ASSERT(zone.running_on(one.address) <= slots);
                }
                RC_ASSERT(zone.runs.size() <= cap);
            }
        }));
}

// With reports of any content an owner still holds its own requests to the
// slots; what an earlier owner left running is then known by time alone.
BOOST_AUTO_TEST_CASE(own_requests_stay_within_slots_whatever_is_reported)
{
    BOOST_TEST(rc::check(
        "no owner exceeds a worker's slots",
        []
        {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 7);
            zone_model zone{slots, zone_model::workers * slots};
            const auto steps = *rc::gen::inRange(0, 300);
            for (int at = 0; at < steps; ++at)
            {
                step(zone, true);
                for (const auto& one : zone.all.workers)
                {
                    RC_ASSERT(zone.daemons[0].in_use(one.address) <= slots);
                    RC_ASSERT(zone.daemons[1].in_use(one.address) <= slots);
                }
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()
