// Tests the messages about quotas between daemons.
#include <boost/test/unit_test.hpp>

#include <cstdint>

#include "schema/quota.hpp"

using namespace waxwingvalve::schema;

BOOST_AUTO_TEST_SUITE(quota_messages)

BOOST_AUTO_TEST_CASE(all_fields_are_kept)
{
    quota_message sent{.sender = 1, .incarnation = 2};
    sent.requests.push_back({3, 4, 5, 6, 7, 8});
    sent.grants.push_back({7, 8, 9, 10, lease_status::not_owner});
    const auto bytes = encode(sent);
    BOOST_TEST(is_quota_message(bytes));
    const auto parsed = parse_quota_message(bytes);
    BOOST_REQUIRE(parsed.has_value());
    const auto& received = parsed.value();
    BOOST_TEST(received.sender == 1U);
    BOOST_TEST(received.incarnation == 2U);
    BOOST_REQUIRE(received.requests.size() == 1U);
    BOOST_TEST(received.requests[0].account == 3U);
    BOOST_TEST(received.requests[0].sequence == 4U);
    BOOST_TEST(received.requests[0].needed == 5U);
    BOOST_TEST(received.requests[0].ahead == 6U);
    BOOST_TEST(received.requests[0].spent == 7U);
    BOOST_TEST(received.requests[0].returned == 8U);
    BOOST_REQUIRE(received.grants.size() == 1U);
    BOOST_TEST(received.grants[0].account == 7U);
    BOOST_TEST(received.grants[0].sequence == 8U);
    BOOST_TEST(received.grants[0].tokens == 9U);
    BOOST_TEST(received.grants[0].retry_after_ms == 10U);
    BOOST_TEST((received.grants[0].status == lease_status::not_owner));
}

// A larger datagram is lost on some links.
BOOST_AUTO_TEST_CASE(a_full_message_fits_into_a_datagram)
{
    quota_message requests{.sender = 1, .incarnation = 2};
    requests.requests.resize(max_leases_per_message);
    BOOST_TEST(encode(requests).size() <= max_quota_message);
    quota_message grants{.sender = 1, .incarnation = 2};
    grants.grants.resize(max_leases_per_message);
    BOOST_TEST(encode(grants).size() <= max_quota_message);
}

BOOST_AUTO_TEST_SUITE_END()
