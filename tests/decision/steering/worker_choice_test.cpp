// Which worker an object's requests go to.
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "decision/steering/worker_choice.hpp"

namespace
{

using namespace waxwingvalve::decision::steering;

struct pool
{
    explicit pool(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            ids.push_back("worker-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < ids.size(); ++i)
        {
            candidates.push_back({i, ids[i], 0.0, 4});
        }
    }

    std::vector<ranked_worker> rank(std::string_view object) const
    {
        return rank_workers(object, candidates, {}, false);
    }

    std::vector<std::string> ids;
    std::vector<worker_candidate> candidates;
};

std::string object(int number)
{
    return "object-" + std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_choices)

BOOST_AUTO_TEST_CASE(an_object_keeps_its_worker)
{
    const pool workers{20};
    const auto first = workers.rank("object-1").front().index;
    for (int i = 0; i < 10; ++i)
    {
        BOOST_TEST(workers.rank("object-1").front().index == first);
    }
}

// Pattern: a worker is lost; only its own objects move.
BOOST_AUTO_TEST_CASE(a_lost_worker_moves_only_its_objects)
{
    const pool workers{20};
    pool fewer{20};
    fewer.candidates.erase(fewer.candidates.begin() + 7);
    std::set<std::size_t> heirs;
    for (int i = 0; i < 200; ++i)
    {
        const auto before = workers.rank(object(i)).front().index;
        const auto after = fewer.rank(object(i)).front().index;
        if (before != 7)
        {
            BOOST_TEST(before == after);
            continue;
        }
        heirs.insert(after);
    }
    BOOST_TEST(heirs.size() > 1U);
}

BOOST_AUTO_TEST_CASE(a_full_worker_sheds_to_the_next_in_rank)
{
    pool workers{20};
    const auto ranked = workers.rank("object-1");
    workers.candidates[ranked[0].index].load = 40;
    const auto now = workers.rank("object-1");
    BOOST_TEST(now.front().index == ranked[1].index);
}

// Pattern: overload. A cold run elsewhere would cost several warm ones, so a
// request does not leave the workers that stay warm for its object for one
// that is busy as well.
BOOST_AUTO_TEST_CASE(under_overload_objects_stay_on_their_first_workers)
{
    pool workers{20};
    const auto ranked = workers.rank("object-1");
    for (auto& one : workers.candidates)
    {
        one.load = 4.4;
    }
    const choice_policy policy;
    for (std::size_t i = 0; i < policy.warm_ranks; ++i)
    {
        workers.candidates[ranked[i].index].load = 20;
    }
    BOOST_TEST(workers.rank("object-1").empty());
    workers.candidates[ranked[policy.warm_ranks].index].load = 1;
    BOOST_REQUIRE(workers.rank("object-1").size() == 1);
}

BOOST_AUTO_TEST_CASE(urgent_requests_queue_where_others_do_not)
{
    pool workers{3};
    const choice_policy policy;
    for (auto& one : workers.candidates)
    {
        one.load =
            one.slots * (policy.max_utilization + policy.urgent_headroom / 2);
    }
    const auto rank = [&](bool urgent)
    { return rank_workers("object-1", workers.candidates, policy, urgent); };
    BOOST_TEST(rank(false).empty());
    BOOST_TEST(!rank(true).empty());
}

BOOST_AUTO_TEST_CASE(objects_spread_over_all_workers)
{
    const pool workers{20};
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 2'000; ++i)
    {
        ++counts[workers.rank(object(i)).front().index];
    }
    BOOST_TEST(counts.size() == 20U);
    for (const auto& [worker, count] : counts)
    {
        BOOST_TEST(count < 160);
    }
}

// Workers asked after those of a nearer zone take a request only when idle.
BOOST_AUTO_TEST_CASE(workers_of_a_further_zone_are_not_warm)
{
    pool workers{4};
    for (auto& one : workers.candidates)
    {
        one.load = 4.0;
    }
    const choice_policy policy;
    const auto further = rank_workers(
        "object-1", workers.candidates, policy, false, policy.warm_ranks);
    BOOST_TEST(further.empty());
    BOOST_TEST(!workers.rank("object-1").empty());
}

BOOST_AUTO_TEST_SUITE_END()
