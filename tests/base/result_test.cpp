#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/result.hpp"

using namespace waxwingvalve::base;

namespace
{

const std::vector<int>& all_numbers()
{
    static const std::vector<int> numbers{
#define WAXWINGVALVE_CODE(number, name, exit_status, message) number,
#include "base/result_codes.def"
#undef WAXWINGVALVE_CODE
    };
    return numbers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(results)

BOOST_AUTO_TEST_CASE(numbers_are_unique)
{
    const std::set<int> unique{all_numbers().begin(), all_numbers().end()};
    BOOST_TEST(unique.size() == all_numbers().size());
}

BOOST_AUTO_TEST_CASE(a_failure_tells_code_name_message_and_detail)
{
    const error failure{result_code::service_unknown, "hire-desk"};
    BOOST_TEST(
        to_string(failure) == "2007 service_unknown: no accepted record names "
                              "this service (hire-desk)");
}

BOOST_AUTO_TEST_SUITE_END()
