// Tests of entries that another writer left among those of the workers: the
// daemon goes on, follows the table and sends nothing there.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "platform/documents.hpp"
#include "platform/store_client.hpp"
#include "platform/store_watch_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

struct odd_entry
{
    std::string description;
    std::string value;
};

std::ostream& operator<<(std::ostream& stream, const odd_entry& entry)
{
    return stream << entry.description;
}

std::string entry_with(
    std::string_view address,
    std::string_view slots,
    std::string_view sequence = "4",
    std::string_view born = "1",
    std::string_view cold = "0ms")
{
    return fmt::format(
        R"({{"address":"{}","born":{},"info":{{"service":"desk",)"
        R"("version":"v1","zone":"addis-a","slots":{}}},"status":{{"state":)"
        R"("ready","sequence":{},"cold_remaining":"{}"}}}})",
        address,
        born,
        slots,
        sequence,
        cold);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

const std::array odd_entries{
    odd_entry{"nested arrays", nested(100'000)},
    odd_entry{"nested arrays without end", std::string(100'000, '[')},
    odd_entry{
        "nested objects in a field", R"({"address":)" + nested(30'000) + "}"},
    odd_entry{"slots beyond a double", entry_with("10.0.0.7:80", "1e999")},
    odd_entry{"slots beyond 64 bits", entry_with("10.0.0.7:80", "1e30")},
    // Both would be 1 in 32 bits.
    odd_entry{"slots beyond 32 bits", entry_with("10.0.0.7:80", "4294967297")},
    odd_entry{"slots of no worker", entry_with("10.0.0.7:80", "4000000000")},
    odd_entry{"negative slots", entry_with("10.0.0.7:80", "-1")},
    odd_entry{
        "a sequence beyond 64 bits",
        entry_with("10.0.0.7:80", "4", "99999999999999999999")},
    odd_entry{
        "a start beyond 64 bits",
        entry_with("10.0.0.7:80", "4", "4", "99999999999999999999")},
    odd_entry{
        "a time beyond a double",
        entry_with("10.0.0.7:80", "4", "4", "1", "1e999s")},
    odd_entry{
        "a time of an age", entry_with("10.0.0.7:80", "4", "4", "1", "1e300s")},
    odd_entry{"port 0", entry_with("10.0.0.7:0", "4")},
    odd_entry{"port 65536", entry_with("10.0.0.7:65536", "4")},
    odd_entry{
        "a port beyond 64 bits",
        entry_with("10.0.0.7:99999999999999999999", "4")},
    odd_entry{"bytes that are no text", std::string{"\xff\xfe\0{}", 5}},
    odd_entry{"nothing", ""}};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries_of_workers)

// Guards against an entry of another writer that ends the daemons which read
// the list, stops them following it, or names a worker.
BOOST_DATA_TEST_CASE(the_list_is_followed_past_them, odd_entries, entry)
{
    store_watch_fixture fixture;
    fixture.store.put("servers", "i-0-before", entry.value);
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.put("servers", "i-odd", entry.value);
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_TEST(
        fixture.wait_until([&] { return fixture.has_worker("i-2"); }, 2500ms));
    BOOST_TEST(fixture.has_worker("i-1"));
    BOOST_TEST(!fixture.has_worker("i-odd"));
    BOOST_TEST(!fixture.has_worker("i-0-before"));
}

// Guards against a daemon that stops following the list without a word: the
// exception of a value of padding ended the coroutine that reads it.
BOOST_AUTO_TEST_CASE(the_list_is_followed_past_a_value_of_padding)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.put_encoded("servers", "i-odd", "====");
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_TEST(
        fixture.wait_until([&] { return fixture.has_worker("i-2"); }, 2500ms));
    BOOST_TEST(!fixture.has_worker("i-odd"));
}

BOOST_DATA_TEST_CASE(they_name_no_worker, odd_entries, entry)
{
    const auto parsed = platform::parse_worker("i-odd", entry.value);
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST((parsed.error().code == base::result_code::record_malformed));
    BOOST_TEST(to_string(parsed.error()).size() < 500U);
}

BOOST_AUTO_TEST_SUITE_END()
