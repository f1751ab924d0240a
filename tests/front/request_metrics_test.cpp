// Tests of the Prometheus text output.
#include <boost/test/unit_test.hpp>

#include "front/request_metrics.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(request_metrics)

BOOST_AUTO_TEST_CASE(latencies_are_counted_by_upper_bound)
{
    front::latency_histogram histogram;
    histogram.add(5ms);
    histogram.add(10ms);
    histogram.add(120ms);
    histogram.add(60s);
    const auto text = histogram.text("answer_seconds", "Answers.");
    BOOST_TEST(text.find("bucket{le=\"0.01\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("bucket{le=\"0.1\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("bucket{le=\"0.2\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("bucket{le=\"+Inf\"} 4\n") != std::string::npos);
    BOOST_TEST(text.find("answer_seconds_count 4\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(metrics_text_contains_counters)
{
    front::request_metrics counts;
    counts.requests = 7;
    counts.ends["not_run"] = 2;
    const auto text =
        front::metrics_text(counts, front::body_memory{{.body_bytes = 1'000}});
    BOOST_TEST(text.find("waxwingvalve_requests_total 7") != std::string::npos);
    BOOST_TEST(
        text.find("request_ends_total{end=\"not_run\"} 2") !=
        std::string::npos);
}

// Guards against a process that ends by its memory and leaves no trace of what
// it was allowed to use.
BOOST_AUTO_TEST_CASE(metrics_text_tells_the_limit_on_memory_and_its_use)
{
    const front::body_memory memory{
        {.process =
             {.bytes = 4'000, .source = base::memory_limit_source::settings},
         .body_bytes = 1'000}};
    const auto text = front::metrics_text({}, memory);
    BOOST_TEST(
        text.find("memory_limit_bytes{source=\"settings\"} 4000") !=
        std::string::npos);
    BOOST_TEST(text.find("resident_bytes 0\n") == std::string::npos);
    BOOST_TEST(text.find("resident_bytes ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
