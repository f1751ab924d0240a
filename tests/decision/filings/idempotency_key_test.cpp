#include <string>

#include <boost/test/unit_test.hpp>

#include "decision/filings/idempotency_key.hpp"
#include "decision/filings/request_digest.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::filings;

BOOST_AUTO_TEST_SUITE(idempotency_keys)

BOOST_AUTO_TEST_CASE(formatted_prefix_is_parsed_back)
{
    const key_prefix prefix{"addis-a-1", 1'700'000'000'000'000, 12};
    const auto key = parse_idempotency_key(to_string(prefix) + "jar:7").value();
    BOOST_TEST((key.prefix == prefix));
    BOOST_TEST(key.local == "jar:7");
}

BOOST_AUTO_TEST_CASE(key_without_prefix_has_only_a_local_part)
{
    const auto key = parse_idempotency_key("jar-7").value();
    BOOST_TEST(!key.prefix.has_value());
    BOOST_TEST(key.local == "jar-7");
}

BOOST_AUTO_TEST_CASE(malformed_key_is_rejected)
{
    for (const std::string text :
         {"",
          "two words",
          "wv1:",
          "wv1:a:1:1",
          "wv1:a:1:1:",
          "wv1::1:1:x",
          "wv1:a:01:1:x",
          "wv1:a:1:0:x",
          "wv1:a:1:one:x",
          "wv1:a:99999999999999999999:1:x"})
    {
        const auto parsed = parse_idempotency_key(text);
        BOOST_TEST_CONTEXT(text)
        BOOST_TEST(
            (!parsed &&
             parsed.error().code == base::result_code::key_malformed));
    }
    BOOST_TEST(!parse_idempotency_key(std::string(256, 'k')).has_value());
    BOOST_TEST(parse_idempotency_key(std::string(255, 'k')).has_value());
}

BOOST_AUTO_TEST_CASE(digest_depends_on_every_request_part)
{
    const request_parts parts{"registry", "POST", "/filings", "{}"};
    const auto digest = digest_of(parts);
    BOOST_TEST((digest == digest_of(parts)));
    for (const request_parts& other :
         {request_parts{"registr", "yPOST", "/filings", "{}"},
          request_parts{"registry", "PUT", "/filings", "{}"},
          request_parts{"registry", "POST", "/filings?a=1", "{}"},
          request_parts{"registry", "POST", "/filings", "{ }"}})
    {
        BOOST_TEST((digest != digest_of(other)));
    }
    BOOST_TEST(to_string(digest).size() == 32U);
}

BOOST_AUTO_TEST_SUITE_END()
