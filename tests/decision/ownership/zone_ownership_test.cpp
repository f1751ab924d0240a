#include <cstdlib>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/ownership/zone_model.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::test;

namespace
{

// The default for RC_PARAMS, from which rapidcheck reads its seed and the
// number of runs.
constexpr auto default_rc_params =
    "seed=20261204 max_success=3000 max_size=150";

rc::Gen<std::vector<model_step>> arbitrary_steps()
{
    const auto step = rc::gen::build<model_step>(
        rc::gen::set(
            &model_step::action,
            rc::gen::weightedOneOf<model_action>(
                {{3, rc::gen::just(model_action::run)},
                 {4,
                  rc::gen::map(
                      rc::gen::inRange(
                          0, static_cast<int>(model_action::count)),
                      [](int action)
                      { return static_cast<model_action>(action); })}})),
        rc::gen::set(
            &model_step::first, rc::gen::inRange<std::uint8_t>(0, 255)),
        rc::gen::set(
            &model_step::second, rc::gen::inRange<std::uint8_t>(0, 255)));
    return rc::gen::container<std::vector<model_step>>(step);
}

void check_no_two_owners(death_criterion criterion)
{
    zone_model zone{*rc::gen::inRange(2, 9), criterion};
    zone.run(*rc::gen::inRange(0, 20));
    for (const auto& step : *arbitrary_steps())
    {
        zone.apply(step);
    }
    RC_ASSERT(zone.violation().value_or("") == "");
}

void set_rc_params()
{
    ::setenv("RC_PARAMS", default_rc_params, 0);
    BOOST_TEST_MESSAGE("RC_PARAMS=" << std::getenv("RC_PARAMS"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(zone_ownership)

BOOST_AUTO_TEST_CASE(no_worker_ever_has_two_dispatching_owners)
{
    set_rc_params();
    BOOST_TEST(rc::check(
        "no worker has two dispatching owners",
        [] { check_no_two_owners(death_criterion::proof); }));
}

// Shows that the check of the model can fail: if silence counts as proof of
// death, two daemons on both sides of a partition dispatch to the same worker.
BOOST_AUTO_TEST_CASE(silence_as_proof_of_death_gives_two_owners)
{
    for (int daemons = 2; daemons <= 8; ++daemons)
    {
        zone_model zone{daemons, death_criterion::silence};
        zone.run(20);
        for (int first = 0; first < daemons; ++first)
        {
            for (int second = 0; second < first; ++second)
            {
                zone.apply(
                    {model_action::partition,
                     static_cast<std::uint8_t>(first),
                     static_cast<std::uint8_t>(second)});
            }
        }
        zone.run(100);
        BOOST_TEST(zone.violation().has_value());
    }
}

BOOST_AUTO_TEST_CASE(without_faults_every_worker_is_served)
{
    for (int daemons = 1; daemons <= 8; ++daemons)
    {
        zone_model zone{daemons, death_criterion::proof};
        zone.run(10);
        BOOST_TEST(zone.served_workers() == zone_model::workers);
    }
}

BOOST_AUTO_TEST_CASE(a_killed_daemons_workers_are_served_again)
{
    for (std::uint8_t killed = 0; killed < 3; ++killed)
    {
        zone_model zone{3, death_criterion::proof};
        zone.run(10);
        zone.apply({model_action::kill, killed, 0});
        zone.run(10);
        BOOST_TEST(zone.served_workers() == zone_model::workers);
    }
}

BOOST_AUTO_TEST_CASE(a_paused_daemons_workers_stay_idle_until_it_resumes)
{
    zone_model zone{2, death_criterion::proof};
    zone.run(10);
    zone.apply({model_action::pause, 0, 0});
    const auto served_by_other = zone.served_workers();
    BOOST_TEST(served_by_other < zone_model::workers);
    zone.run(600);
    BOOST_TEST(zone.served_workers() == served_by_other);
    zone.apply({model_action::resume, 0, 0});
    // The resumed daemon must claim its workers again before it dispatches.
    BOOST_TEST(zone.served_workers() == served_by_other);
    zone.run(10);
    BOOST_TEST(zone.served_workers() == zone_model::workers);
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_hands_over_after_its_requests_end)
{
    zone_model zone{2, death_criterion::proof};
    zone.run(10);
    for (std::uint8_t worker = 0; worker < zone_model::workers; ++worker)
    {
        zone.apply({model_action::dispatch, 0, worker});
    }
    const auto served_by_other = [&]
    {
        zone.apply({model_action::pause, 0, 0});
        const auto served = zone.served_workers();
        zone.apply({model_action::resume, 0, 0});
        return served;
    };
    const auto before = served_by_other();
    zone.apply({model_action::leave, 0, 0});
    zone.run(20);
    BOOST_TEST(served_by_other() == before);
    for (std::uint8_t worker = 0; worker < zone_model::workers; ++worker)
    {
        zone.apply({model_action::finish_requests, 0, worker});
    }
    zone.run(20);
    BOOST_TEST(served_by_other() == zone_model::workers);
}

BOOST_AUTO_TEST_CASE(an_unlisted_vms_workers_move_after_its_tenure)
{
    zone_model zone{2, death_criterion::proof};
    zone.run(10);
    zone.apply({model_action::pause, 0, 0});
    zone.apply({model_action::unlist, 0, 0});
    zone.run(40);
    BOOST_TEST(zone.served_workers() < zone_model::workers);
    zone.run(40);
    BOOST_TEST(zone.served_workers() == zone_model::workers);
    zone.apply({model_action::resume, 0, 0});
    zone.run(50);
    BOOST_TEST(zone.served_workers() == zone_model::workers);
    BOOST_TEST(!zone.violation().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
