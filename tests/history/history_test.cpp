// The checker against forged histories: each bad one must be found.
#include <boost/test/unit_test.hpp>

#include "history/history.hpp"

using namespace waxwingvalve::history;

namespace
{

const run_record ran{"127.0.0.1:9000", "k1", "POST", "/filings", "jar"};

caller_record answered(std::string answer)
{
    return {"k1", "POST", "/filings", "jar", 200, "", std::move(answer)};
}

caller_record told(std::string outcome)
{
    return {"k1", "POST", "/filings", "jar", 503, std::move(outcome), "{}"};
}

const caller_record good = answered(
    R"({"key":"k1","method":"POST","target":"/filings","body":"jar","run":0})");

struct forged_history
{
    std::string name{};
    std::vector<caller_record> callers{};
    std::vector<run_record> runs{};
    std::vector<violation_kind> found{};
};

const std::vector<forged_history> table{
    {"one run, one answer", {good}, {ran}, {}},
    {"a repeat with the same answer", {good, good}, {ran}, {}},
    {"unknown, and it ran", {told("unknown")}, {ran}, {}},
    {"unknown, and it did not run", {told("unknown")}, {}, {}},
    {"refused, and it did not run", {told("not-run")}, {}, {}},
    {"done without the answer", {told("done")}, {ran}, {}},
    {"a look-up runs as often as it likes",
     {},
     {{"w", "", "GET", "/", ""}, {"w", "", "GET", "/", ""}},
     {}},
    {"two runs", {good}, {ran, ran}, {violation_kind::ran_twice}},
    {"refused before it ran",
     {told("not-run"), good},
     {ran},
     {violation_kind::refused_but_ran}},
    {"refused after it ran",
     {good, told("not-run")},
     {ran},
     {violation_kind::refused_but_ran}},
    {"done out of nothing", {good}, {}, {violation_kind::done_but_never_ran}},
    {"the answer of another body",
     {answered(
         R"({"key":"k1","method":"POST","target":"/filings","body":"pot","run":0})")},
     {ran},
     {violation_kind::answer_of_another_request}},
    {"the answer of another key",
     {answered(
         R"({"key":"k2","method":"POST","target":"/filings","body":"jar","run":0})")},
     {ran},
     {violation_kind::answer_of_another_request}},
    {"half an answer",
     {answered(R"({"key":"k1","method":"POST")")},
     {ran},
     {violation_kind::answer_cut_short}},
    {"an answer without its end",
     {answered(R"({"key":"k1"})")},
     {ran},
     {violation_kind::answer_cut_short}}};

} // namespace

BOOST_AUTO_TEST_SUITE(history_checker)

BOOST_AUTO_TEST_CASE(finds_what_was_forged_and_nothing_else)
{
    for (const auto& forged : table)
    {
        std::vector<violation_kind> found;
        for (const auto& one : check(forged.callers, forged.runs))
        {
            found.push_back(one.kind);
        }
        BOOST_TEST_CONTEXT(forged.name)
        BOOST_TEST((found == forged.found));
    }
}

BOOST_AUTO_TEST_SUITE_END()
