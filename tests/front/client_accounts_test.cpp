// Tests of what the key of a client account decides for a request.
#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

#include <boost/asio/write.hpp>

#include "front/front_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

scripted_reply reply_success(int)
{
    return {.answer = success_answer("whole")};
}

constexpr std::string_view key_of_a = "Authorization: Bearer secret-a\r\n";

// Accounts "a", with two keys, and "b". The route of filings is public.
struct account_fixture
{
    account_fixture()
    {
        change(
            [](decision::steering::configuration& next)
            {
                next.accounts = {
                    {.name = "a", .keys = {"secret-a", "secret-a2"}},
                    {.name = "b", .keys = {"secret-b"}}};
                next.routes.at(1).is_public = true;
            });
    }

    template <typename Change>
    void change(Change apply)
    {
        auto next = front.view.configuration();
        ++next.version;
        apply(next);
        front.view.adopt(std::move(next));
    }

    std::string exchange(std::string_view fields)
    {
        return front.exchange(idempotent_request("1", fields), 100ms);
    }

    // The only head that the worker got.
    const std::string& received() const
    {
        BOOST_REQUIRE(worker.requests().size() == 1U);
        return worker.requests().front();
    }

    front_fixture front;
    scripted_worker& worker{front.add_worker("w", reply_success)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_accounts, account_fixture)

BOOST_AUTO_TEST_CASE(the_worker_is_told_the_account_and_not_the_key)
{
    const auto response = exchange(key_of_a);
    BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
    BOOST_TEST(contains(received(), "Account: a\r\n"));
    BOOST_TEST(!contains(received(), "secret"));
    BOOST_TEST(!contains(received(), "Authorization"));
}

// A caller could name another account than that of its key.
BOOST_AUTO_TEST_CASE(what_the_caller_says_of_its_account_is_dropped)
{
    exchange(
        std::string{"account: b\r\nACCOUNT: b\r\n"} + std::string{key_of_a});
    BOOST_TEST(contains(received(), "Account: a\r\n"));
    BOOST_TEST(!contains(received(), ": b\r\n"));
}

BOOST_AUTO_TEST_CASE(a_request_without_a_key_in_force_is_refused)
{
    const std::string key{key_of_a};
    const std::string two_keys = key + "Authorization: Bearer secret-b\r\n";
    for (const std::string& fields :
         {std::string{},
          std::string{"Authorization: Bearer unknown\r\n"},
          std::string{"Authorization: Bearer\r\n"},
          std::string{"Authorization: Bearer secret-a x\r\n"},
          std::string{"Authorization: Basic secret-a\r\n"},
          two_keys,
          std::string{"Account: a\r\n"}})
    {
        const auto response = exchange(fields);
        BOOST_TEST(response.starts_with("HTTP/1.1 401"), fields);
        BOOST_TEST(contains(response, "WWW-Authenticate: Bearer"));
        BOOST_TEST(contains(response, "not-run"));
    }
    BOOST_TEST(worker.requests().empty());
    BOOST_TEST(front.counts.requests_without_account == 7U);
}

BOOST_AUTO_TEST_CASE(a_public_route_needs_no_key)
{
    const auto response = front.exchange(
        non_idempotent_request(
            "1", "Account: b\r\nAuthorization: Bearer x\r\n"),
        100ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
    BOOST_TEST(!contains(received(), "Account"));
    BOOST_TEST(!contains(received(), "Authorization"));
}

// Guards against a key that counts on for callers that stay connected.
BOOST_AUTO_TEST_CASE(a_key_that_is_taken_away_ends_on_open_connections)
{
    tcp::socket caller{front.loop};
    caller.connect(
        {boost::asio::ip::make_address(front.address.address),
         front.address.port});
    const auto ask = [&]
    {
        boost::asio::write(
            caller, boost::asio::buffer(idempotent_request("1", key_of_a)));
        front.run_for(60ms);
        std::string text(caller.available(), '\0');
        caller.read_some(boost::asio::buffer(text));
        return text;
    };
    BOOST_TEST(ask().starts_with("HTTP/1.1 200"));
    change([](auto& next) { next.accounts.at(0).keys = {"secret-a2"}; });
    BOOST_TEST(ask().starts_with("HTTP/1.1 401"));
    change([](auto& next) { next.accounts.at(0).keys = {"secret-a"}; });
    BOOST_TEST(ask().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(without_accounts_the_key_is_the_workers)
{
    change([](auto& next) { next.accounts.clear(); });
    exchange("Authorization: Bearer of-the-worker\r\nAccount: x\r\n");
    BOOST_TEST(contains(received(), "Authorization: Bearer of-the-worker"));
    BOOST_TEST(!contains(received(), "Account"));
}

// A key that was checked here must not reach a worker because accounts were
// removed meanwhile.
BOOST_AUTO_TEST_CASE(a_checked_key_is_kept_back_when_accounts_go)
{
    front.view.remove_worker("w", base::monotonic_clock::now());
    int seen = 0;
    const auto shed_first = [&](int number)
    {
        ++seen;
        if (seen > 1)
        {
            return reply_success(number);
        }
        change([](auto& next) { next.accounts.clear(); });
        return scripted_reply{
            .answer = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\n"
                      "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    };
    const auto& first = front.add_worker("x", shed_first);
    const auto& second = front.add_worker("y", shed_first);
    exchange(key_of_a);
    BOOST_TEST(seen == 2);
    for (const auto* one : {&first, &second})
    {
        BOOST_REQUIRE(one->requests().size() == 1U);
        BOOST_TEST(!contains(one->requests().front(), "secret"));
    }
}

// The same when accounts come while it is sent again.
BOOST_AUTO_TEST_CASE(a_key_is_kept_back_once_accounts_are_in_force)
{
    front.view.remove_worker("w", base::monotonic_clock::now());
    change([](auto& next) { next.accounts.clear(); });
    int seen = 0;
    const auto shed_first = [&](int number)
    {
        ++seen;
        if (seen > 1)
        {
            return reply_success(number);
        }
        change([](auto& next)
               { next.accounts = {{.name = "a", .keys = {"secret-a"}}}; });
        return scripted_reply{
            .answer = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\n"
                      "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    };
    front.add_worker("x", shed_first);
    front.add_worker("y", shed_first);
    front.add_worker("z", shed_first);
    exchange(key_of_a);
    BOOST_TEST(seen == 2);
    int with_key = 0;
    for (const auto& head : front.received_heads())
    {
        with_key += contains(head, "secret") ? 1 : 0;
    }
    BOOST_TEST(with_key == 1);
}

BOOST_AUTO_TEST_CASE(a_public_route_tells_the_account_of_a_known_key)
{
    const auto response =
        front.exchange(non_idempotent_request("1", key_of_a), 100ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
    BOOST_TEST(contains(received(), "Account: a\r\n"));
    BOOST_TEST(!contains(received(), "secret"));
}

BOOST_AUTO_TEST_CASE(homes_of_route_and_account_both_bind)
{
    auto& abroad = front.add_worker("v", reply_success, "gondar-a");
    change([](auto& next) { next.accounts.at(0).home_regions = {"gondar"}; });
    BOOST_TEST(exchange(key_of_a).starts_with("HTTP/1.1 200"));
    BOOST_TEST(abroad.requests().size() == 1U);
    BOOST_TEST(worker.requests().empty());
    front.move_home("addis");
    const auto response = exchange(key_of_a);
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(abroad.requests().size() + worker.requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(account_priorities)

// A worker that is too full for its least important route still takes the
// requests of an account whose priority is the best.
BOOST_AUTO_TEST_CASE(the_priority_of_the_account_replaces_that_of_the_route)
{
    front_fixture front;
    front.add_worker("w", reply_success);
    auto next = front.view.configuration();
    ++next.version;
    next.routes.at(0).priority = 2;
    next.routes.at(1).priority = 0;
    front.view.adopt(next);
    const auto now = base::monotonic_clock::now();
    front.view.workers().find("w")->report(
        {.running = 4, .waiting = 11, .slots = 4}, now);
    const decision::accounts::client_account urgent{.name = "a", .priority = 0};
    const decision::accounts::client_account patient{
        .name = "b", .priority = 2};
    const auto placed = [&](std::size_t route, const auto* account)
    {
        const auto worker = front.view.place(
            {.route = &next.routes.at(route),
             .service = "desk",
             .object = "o",
             .account = account},
            now);
        if (worker)
        {
            worker.value()->request_ended();
        }
        return worker.has_value();
    };
    const decision::accounts::client_account* none = nullptr;
    BOOST_TEST(!placed(0, none));
    BOOST_TEST(!placed(0, &patient));
    BOOST_TEST(!placed(1, &patient));
    BOOST_TEST(placed(0, &urgent));
    BOOST_TEST(placed(1, none));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(strict_revocations)

// A daemon that can't tell whether a key was taken away takes none, if that is
// what the settings ask.
BOOST_AUTO_TEST_CASE(keys_count_while_the_configuration_is_known_to_be_newest)
{
    auto options = test_options();
    options.strict_revocation = true;
    options.revocation_time = 5s;
    front::fleet_view view{options, {}, {}, 1};
    const base::instant start{std::chrono::hours{1}};
    view.note_configuration_current(start);
    BOOST_TEST(view.keys_confirmed(start + 5s));
    BOOST_TEST(!view.keys_confirmed(start + 5'001ms));
    view.note_configuration_current(start + 4s);
    view.note_configuration_current(start + 3s);
    BOOST_TEST(view.keys_confirmed(start + 9s));
    front::fleet_view lax{test_options(), {}, {}, 1};
    BOOST_TEST(lax.keys_confirmed(start));
}

BOOST_AUTO_TEST_SUITE_END()
