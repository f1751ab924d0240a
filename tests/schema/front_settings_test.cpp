// Tests the settings of a daemon that sends straight to the workers.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <string_view>

#include "schema/front_settings.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view valid_settings = R"({
  "schema_version": 1,
  "name": "entry-1",
  "region": "addis",
  "zone": "addis-a",
  "caller_address": "10.0.0.1:80",
  "readiness_address": "10.0.0.1:81",
  "lookup_address": "10.0.0.1:82",
  "control_address": "10.0.0.1:83",
  "peer_port": 84,
  "seeds": ["10.0.0.2:83"],
  "zones": [{"zone": "addis-a", "region": "addis"}],
  "store_address": "10.9.0.1:80",
  "lookup_lifetime": "2s",
  "stop_time": "10s",
  "retry_ratio": 0.2,
  "retry_window": "10s",
  "retry_allowance": 430,
  "region_step": 0.15,
  "log_level": "error",
  "worker_report_interval": "2s",
  "body_memory_mb": 40,
  "memory_mb": 260,
  "max_answer_mb": 4,
  "worker_answers_mb": 5,
  "caller_mb": 6,
  "max_connections": 70,
  "strict_revocation": true,
  "revocation_time": "7s",
  "quota_window": "4s",
  "quota_overshoot": 0.2,
  "quota_slack": 30
})";

struct bad_value
{
    std::string_view valid;
    std::string_view bad;
};

std::ostream& operator<<(std::ostream& out, const bad_value& value)
{
    return out << value.bad;
}

constexpr bad_value bad_values[]{
    {R"("schema_version": 1)", R"("schema_version": 2)"},
    {R"("name": "entry-1")", R"("name": "")"},
    {R"("10.0.0.1:80")", R"("here:80")"},
    {R"("peer_port": 84)", R"("peer_port": 0)"},
    {R"("region": "addis",)", R"("region": "harar",)"},
    {R"("lookup_lifetime": "2s")", R"("lookup_lifetime": "2")"},
    {R"("stop_time": "10s")", R"("stop_time": "0s")"},
    {R"("worker_report_interval": "2s")", R"("worker_report_interval": "2")"},
    {R"("retry_ratio": 0.2)", R"("retry_ratio": 1.2)"},
    {R"("retry_allowance": 430)", R"("retry_allowance": -1)"},
    {R"("region_step": 0.15)", R"("region_step": 0)"},
    {R"("revocation_time": "7s")", R"("revocation_time": "soon")"},
    {R"("quota_window": "4s")", R"("quota_window": "0s")"},
    {R"("quota_overshoot": 0.2)", R"("quota_overshoot": -0.2)"},
    {R"("quota_overshoot": 0.2)", R"("quota_overshoot": 1.2)"},
    {R"("quota_slack": 30)", R"("quota_slack": -1)"},
    {R"("log_level": "error")", R"("log_level": "loud")"},
    {R"("body_memory_mb": 40)", R"("body_memory_mb": "much")"},
    {R"("body_memory_mb": 40)", R"("body_memory": 40)"},
    {R"("memory_mb": 260)", R"("memory_mb": 31)"},
    {R"("memory_mb": 260)", R"("memory_mb": -1)"}};

std::string with(const bad_value& value)
{
    std::string text{valid_settings};
    text.replace(text.find(value.valid), value.valid.size(), value.bad);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(front_settings_parsing)

BOOST_AUTO_TEST_CASE(all_settings_are_parsed)
{
    const auto parsed = schema::parse_front_settings(valid_settings);
    BOOST_REQUIRE(parsed.has_value());
    const auto& settings = parsed.value();
    BOOST_TEST(settings.name == "entry-1");
    BOOST_TEST(to_string(settings.peer_address) == "10.0.0.1:84");
    BOOST_TEST(settings.seeds.size() == 1U);
    BOOST_TEST(settings.zones.at("addis-a") == "addis");
    BOOST_TEST((settings.stop_time == 10s));
    BOOST_TEST(settings.retry_allowance == 430);
    BOOST_TEST((settings.log_level == base::log_level::error));
    BOOST_TEST(settings.body_memory_bytes == 40ULL * 1024 * 1024);
    BOOST_TEST(settings.memory_bytes == 260ULL * 1024 * 1024);
    BOOST_TEST(settings.max_answer_bytes == 4ULL * 1024 * 1024);
    BOOST_TEST(settings.worker_answer_bytes == 5ULL * 1024 * 1024);
    BOOST_TEST(settings.caller_bytes == 6ULL * 1024 * 1024);
    BOOST_TEST(settings.max_connections == 70U);
    BOOST_TEST(settings.strict_revocation);
    BOOST_TEST((settings.revocation_time == 7s));
    BOOST_TEST((settings.quota_window == 4s));
    BOOST_TEST(settings.quota_overshoot == 0.2);
    BOOST_TEST(settings.quota_slack == 30.0);
}

BOOST_DATA_TEST_CASE(bad_values_are_rejected, bad_values)
{
    const auto parsed = schema::parse_front_settings(with(sample));
    BOOST_REQUIRE(!parsed.has_value());
    const auto code = parsed.error().code;
    BOOST_TEST(
        (code == base::result_code::settings_invalid ||
         code == base::result_code::settings_malformed));
}

BOOST_AUTO_TEST_SUITE_END()
