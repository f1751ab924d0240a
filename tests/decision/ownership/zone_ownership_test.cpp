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

// rapidcheck reads its seed and the number of runs from the environment.
constexpr auto check_settings = "seed=20261204 max_success=3000 max_size=150";

rc::Gen<std::vector<model_step>> any_steps()
{
    const auto step = rc::gen::build<model_step>(
        rc::gen::set(
            &model_step::what,
            rc::gen::weightedOneOf<fault>(
                {{3, rc::gen::just(fault::run)},
                 {4,
                  rc::gen::map(
                      rc::gen::inRange(0, static_cast<int>(fault::count)),
                      [](int what) { return static_cast<fault>(what); })}})),
        rc::gen::set(
            &model_step::first, rc::gen::inRange<std::uint8_t>(0, 255)),
        rc::gen::set(
            &model_step::second, rc::gen::inRange<std::uint8_t>(0, 255)));
    return rc::gen::container<std::vector<model_step>>(step);
}

void no_two_owners(proof_rule rule)
{
    zone_model zone{*rc::gen::inRange(2, 9), rule};
    zone.run(*rc::gen::inRange(0, 20));
    for (const auto& step : *any_steps())
    {
        zone.apply(step);
    }
    RC_ASSERT(zone.breach().value_or("") == "");
}

void use_settings()
{
    ::setenv("RC_PARAMS", check_settings, 0);
    BOOST_TEST_MESSAGE("RC_PARAMS=" << std::getenv("RC_PARAMS"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(zone_ownership)

BOOST_AUTO_TEST_CASE(no_worker_ever_has_two_dispatching_owners)
{
    use_settings();
    BOOST_TEST(rc::check(
        "no worker has two dispatching owners",
        [] { no_two_owners(proof_rule::proof); }));
}

// The check itself has to be able to fail: with silence taken for proof two
// daemons that are cut from each other both dispatch.
BOOST_AUTO_TEST_CASE(silence_taken_for_proof_gives_two_owners)
{
    for (int daemons = 2; daemons <= 8; ++daemons)
    {
        zone_model zone{daemons, proof_rule::silence};
        zone.run(20);
        for (int one = 0; one < daemons; ++one)
        {
            for (int other = 0; other < one; ++other)
            {
                zone.apply(
                    {fault::cut,
                     static_cast<std::uint8_t>(one),
                     static_cast<std::uint8_t>(other)});
            }
        }
        zone.run(100);
        BOOST_TEST(zone.breach().has_value());
    }
}

BOOST_AUTO_TEST_CASE(without_faults_every_worker_is_served)
{
    for (int daemons = 1; daemons <= 8; ++daemons)
    {
        zone_model zone{daemons, proof_rule::proof};
        zone.run(10);
        BOOST_TEST(zone.served() == zone_model::workers);
    }
}

BOOST_AUTO_TEST_CASE(a_killed_daemons_workers_are_served_again)
{
    for (std::uint8_t killed = 0; killed < 3; ++killed)
    {
        zone_model zone{3, proof_rule::proof};
        zone.run(10);
        zone.apply({fault::kill, killed, 0});
        zone.run(10);
        BOOST_TEST(zone.served() == zone_model::workers);
    }
}

BOOST_AUTO_TEST_CASE(a_frozen_daemons_workers_stay_idle_until_it_thaws)
{
    zone_model zone{2, proof_rule::proof};
    zone.run(10);
    zone.apply({fault::freeze, 0, 0});
    const auto left = zone.served();
    BOOST_TEST(left < zone_model::workers);
    zone.run(600);
    BOOST_TEST(zone.served() == left);
    zone.apply({fault::thaw, 0, 0});
    // Nothing is dispatched before the zone was asked.
    BOOST_TEST(zone.served() == left);
    zone.run(10);
    BOOST_TEST(zone.served() == zone_model::workers);
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_hands_over_once_its_requests_ended)
{
    zone_model zone{2, proof_rule::proof};
    zone.run(10);
    for (std::uint8_t worker = 0; worker < zone_model::workers; ++worker)
    {
        zone.apply({fault::dispatch, 0, worker});
    }
    const auto owned_by_other = [&]
    {
        zone.apply({fault::freeze, 0, 0});
        const auto served = zone.served();
        zone.apply({fault::thaw, 0, 0});
        return served;
    };
    const auto before = owned_by_other();
    zone.apply({fault::leave, 0, 0});
    zone.run(20);
    BOOST_TEST(owned_by_other() == before);
    for (std::uint8_t worker = 0; worker < zone_model::workers; ++worker)
    {
        zone.apply({fault::finish, 0, worker});
    }
    zone.run(20);
    BOOST_TEST(owned_by_other() == zone_model::workers);
}

BOOST_AUTO_TEST_CASE(a_vanished_vms_workers_move_after_its_tenure)
{
    zone_model zone{2, proof_rule::proof};
    zone.run(10);
    zone.apply({fault::freeze, 0, 0});
    zone.apply({fault::vanish, 0, 0});
    zone.run(40);
    BOOST_TEST(zone.served() < zone_model::workers);
    zone.run(40);
    BOOST_TEST(zone.served() == zone_model::workers);
    zone.apply({fault::thaw, 0, 0});
    zone.run(50);
    BOOST_TEST(zone.served() == zone_model::workers);
    BOOST_TEST(!zone.breach().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
