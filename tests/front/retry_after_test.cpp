// Tests of what the field Retry-After of a worker means, and of the one that
// callers get.
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "front/retry_after.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;

namespace
{

std::optional<base::duration> parse(std::vector<std::string> values)
{
    std::vector<net::header_field> fields{{"Server", "x"}};
    for (auto& value : values)
    {
        fields.push_back({"retry-after", std::move(value)});
    }
    return front::parse_retry_after(fields);
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_after)

BOOST_AUTO_TEST_CASE(seconds_with_fractions_are_read)
{
    BOOST_TEST((parse({"3"}) == base::duration{3s}));
    BOOST_TEST((parse({"0.25"}) == base::duration{250ms}));
    BOOST_TEST((parse({"0"}) == base::duration{}));
    BOOST_TEST(!parse({}));
}

BOOST_AUTO_TEST_CASE(other_texts_say_nothing)
{
    for (const auto* text :
         {"",
          "-1",
          "nan",
          "3s",
          " 3",
          "Wed, 21 Oct 2026 07:28:00 GMT",
          "1e999"})
    {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(!parse({text}));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_huge_time_is_cut)
{
    BOOST_TEST((parse({"1e300"}) == base::duration{24h}));
    BOOST_TEST((parse({"inf"}) == base::duration{24h}));
}

BOOST_AUTO_TEST_CASE(the_longest_of_several_fields_holds)
{
    BOOST_TEST((parse({"1", "5", "2"}) == base::duration{5s}));
    BOOST_TEST((parse({"1", "x"}) == base::duration{1s}));
}

// Callers that are refused together come back over some time, and not before
// there can be room.
BOOST_AUTO_TEST_CASE(callers_are_spread_behind_the_wait)
{
    std::set<std::string> times;
    for (int i = 0; i < 100; ++i)
    {
        net::http_response answer;
        front::set_retry_after(answer, std::to_string(i), 8s);
        const std::string value{*net::find_field(answer.fields, "Retry-After")};
        BOOST_TEST(std::stod(value) >= 8.0);
        BOOST_TEST(std::stod(value) < 11.0);
        times.insert(value);
    }
    BOOST_TEST(times.size() > 90U);
}

BOOST_AUTO_TEST_SUITE_END()
