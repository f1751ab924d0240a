#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "decision/ownership/rendezvous.hpp"

using waxwingvalve::decision::ownership::rendezvous;

BOOST_AUTO_TEST_SUITE(rendezvous_hashing)

BOOST_AUTO_TEST_CASE(returns_nothing_without_candidates)
{
    BOOST_TEST(!rendezvous("127.0.0.1:9000", {}).has_value());
}

BOOST_AUTO_TEST_CASE(moves_only_the_keys_of_a_removed_candidate)
{
    const std::vector<std::string> before{"a", "b", "c"};
    const std::vector<std::string> after{"a", "c"};
    for (int number = 0; number < 200; ++number)
    {
        const auto key = fmt::format("127.0.0.{}:9000", number);
        const auto owner = rendezvous(key, before);
        if (owner != "b")
        {
            BOOST_TEST((rendezvous(key, after) == owner));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
