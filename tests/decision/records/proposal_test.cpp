#include <boost/test/unit_test.hpp>

#include "decision/records/proposal.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::records;

BOOST_AUTO_TEST_SUITE(proposals)

BOOST_AUTO_TEST_CASE(author_cannot_review_or_accept_unreviewed)
{
    const proposal drafted{.id = "p-1", .author = "selam"};
    BOOST_TEST(
        (review(drafted, "selam").error().code ==
         base::result_code::author_cannot_accept));
    BOOST_TEST(
        (accept(drafted, "selam", 0).error().code ==
         base::result_code::review_missing));
}

BOOST_AUTO_TEST_CASE(reviewed_proposal_is_accepted_once_as_next_revision)
{
    const proposal drafted{.id = "p-1", .author = "selam"};
    const auto reviewed = review(drafted, "dawit").value();
    const auto accepted = accept(reviewed, "selam", 41).value();
    BOOST_TEST(accepted.accepted_as == 42U);
    BOOST_TEST(
        (accept(accepted, "dawit", 42).error().code ==
         base::result_code::proposal_closed));
    BOOST_TEST(
        (parse_proposal(to_json(accepted)).value().state ==
         proposal_state::accepted));
}

BOOST_AUTO_TEST_SUITE_END()
