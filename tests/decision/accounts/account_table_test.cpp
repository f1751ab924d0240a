// Tests that keys lead to the account that holds them, and that lists which
// contradict themselves are refused.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "decision/accounts/account_table.hpp"

using namespace waxwingvalve::decision::accounts;
using waxwingvalve::base::result_code;

namespace
{

client_account make_account(std::string name, std::vector<std::string> keys)
{
    return {.name = std::move(name), .keys = std::move(keys)};
}

struct invalid_accounts
{
    std::string_view description;
    std::vector<client_account> accounts;
};

std::ostream& operator<<(
    std::ostream& stream, const invalid_accounts& test_case)
{
    return stream << test_case.description;
}

const std::array invalid_lists{
    invalid_accounts{"no name", {make_account("", {"k"})}},
    invalid_accounts{"a name with a line end", {make_account("a\r\nb", {})}},
    invalid_accounts{
        "a name twice", {make_account("a", {"k"}), make_account("a", {"l"})}},
    invalid_accounts{"an empty key", {make_account("a", {""})}},
    invalid_accounts{"a key with a blank", {make_account("a", {"k l"})}},
    invalid_accounts{
        "a key of two accounts",
        {make_account("a", {"k"}), make_account("b", {"l", "k"})}},
    invalid_accounts{"a negative rate", {{.name = "a", .requests_per_s = -1}}}};

} // namespace

BOOST_AUTO_TEST_SUITE(account_tables)

BOOST_AUTO_TEST_CASE(each_key_leads_to_its_account)
{
    const account_table table{
        {make_account("a", {"key-1", "key-2"}), make_account("b", {"key-3"})},
        draw_secret()};
    BOOST_REQUIRE(table.find("key-2"));
    BOOST_TEST(table.find("key-1")->name == "a");
    BOOST_TEST(table.find("key-2")->name == "a");
    BOOST_TEST(table.find("key-3")->name == "b");
}

BOOST_AUTO_TEST_CASE(other_keys_lead_to_none)
{
    const account_table table{{make_account("a", {"key-1"})}, draw_secret()};
    for (const auto* key : {"", "key", "key-11", "KEY-1", "a"})
    {
        BOOST_TEST(!table.find(key), key);
    }
    BOOST_TEST(!table.empty());
    BOOST_TEST(account_table{}.empty());
}

// The table must tell an account without keys from no accounts: without any,
// requests need no key.
BOOST_AUTO_TEST_CASE(an_account_without_keys_is_an_account)
{
    const account_table table{{make_account("a", {})}, draw_secret()};
    BOOST_TEST(!table.empty());
}

BOOST_AUTO_TEST_CASE(accounts_of_the_table_hold_no_keys)
{
    const account_table table{{make_account("a", {"key-1"})}, draw_secret()};
    BOOST_TEST(table.find("key-1")->keys.empty());
}

BOOST_AUTO_TEST_CASE(ten_thousand_accounts_are_held)
{
    std::vector<client_account> accounts;
    accounts.reserve(10'000);
    for (int i = 0; i < 10'000; ++i)
    {
        accounts.push_back(make_account(
            fmt::format("account-{}", i), {fmt::format("key-{}", i)}));
    }
    BOOST_TEST(check_accounts(accounts).has_value());
    const account_table table{accounts, draw_secret()};
    BOOST_TEST(table.find("key-9999")->name == "account-9999");
}

BOOST_DATA_TEST_CASE(
    lists_that_contradict_themselves_are_refused, invalid_lists)
{
    const auto checked = check_accounts(sample.accounts);
    BOOST_REQUIRE(!checked.has_value());
    BOOST_TEST((checked.error().code == result_code::record_invalid));
}

// The reason of a refusal is logged.
BOOST_AUTO_TEST_CASE(a_refusal_names_no_key)
{
    const auto checked = check_accounts(
        {make_account("a", {"secret-1"}), make_account("b", {"secret-1"})});
    BOOST_REQUIRE(!checked.has_value());
    BOOST_TEST(checked.error().detail.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
