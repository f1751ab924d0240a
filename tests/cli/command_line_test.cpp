// Expected outputs and result codes of the commands over an in-memory table.
#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "cli/check_command.hpp"
#include "cli/run_command.hpp"
#include "fakes/memory_table.hpp"

using namespace waxwingvalve;
using base::result_code;

namespace
{

std::string temporary_file(std::string_view name)
{
    const auto file = fmt::format("waxwingvalve-{}-{}.json", ::getpid(), name);
    return (std::filesystem::temp_directory_path() / file).string();
}

struct operators_fixture
{
    cli::command_result run(
        const std::string& operator_name, const std::vector<std::string>& words)
    {
        const auto given = cli::parse_arguments(words);
        if (!given)
        {
            return boost::outcome_v2::failure(given.error());
        }
        cli::record_commands commands{
            table, cli::operator_identity{operator_name, {}}};
        return cli::run_command(given.value(), commands);
    }

    std::string accept(const std::vector<std::string>& propose)
    {
        const auto proposed = run("selam", propose).value().text;
        auto id = proposed.substr(0, proposed.find(' '));
        BOOST_REQUIRE(run("dawit", {"review", id}).has_value());
        BOOST_REQUIRE(run("dawit", {"accept", id}).has_value());
        return id;
    }

    std::string accept_text(const std::string& json)
    {
        const std::string path = temporary_file("record");
        std::ofstream{path} << json;
        return accept({"propose", path});
    }

    void accept_zone()
    {
        accept_text(R"({"kind": "deployment", "schema_version": 1,
            "name": "khwai", "regions": [{"name": "isan", "zones":
            [{"name": "isan-a"}]}]})");
    }

    fakes::memory_table table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(command_line, operators_fixture)

BOOST_AUTO_TEST_CASE(invalid_command_lines_return_1004)
{
    const std::vector<std::vector<std::string>> invalid_command_lines{
        {},
        {"pray"},
        {"accept"},
        {"accept", "p-1", "p-2"},
        {"--colour", "status"},
        {"--output", "yaml", "status"},
        {"shift", "hire-desk", "isan-a", "isan-b", "ten"},
        {"drain", "house", "isan-a"}};
    for (const auto& words : invalid_command_lines)
    {
        const auto done = run("selam", words);
        BOOST_REQUIRE(!done.has_value());
        BOOST_TEST((done.error().code == result_code::command_line_invalid));
    }
    BOOST_TEST(
        base::describe(result_code::command_line_invalid).exit_status == 2);
}

BOOST_AUTO_TEST_CASE(options_are_accepted_before_or_after_the_command)
{
    const auto before =
        cli::parse_arguments({"--settings", "a", "-o", "json", "show", "k/n"});
    const auto after =
        cli::parse_arguments({"show", "k/n", "--settings", "a", "-o", "json"});
    for (const auto* given : {&before, &after})
    {
        BOOST_REQUIRE(given->has_value());
        BOOST_TEST(given->value().settings_path == "a");
        BOOST_TEST(given->value().operands.front() == "k/n");
        BOOST_TEST((given->value().format == cli::output_format::json));
    }
}

BOOST_AUTO_TEST_CASE(drain_can_be_proposed_shown_diffed_and_retired)
{
    accept_zone();
    const auto id = accept({"drain", "zone", "isan-a"});
    const auto shown = run("dawit", {"show", "drain/zone-isan-a"}).value();
    BOOST_TEST(shown.text.starts_with(
        "2 drain/zone-isan-a " + id +
        " proposed by selam reviewed by dawit accepted by dawit digest "));
    const auto retiring =
        run("selam", {"drain", "retire", "zone-isan-a"}).value().text;
    const auto second = retiring.substr(0, retiring.find(' '));
    BOOST_TEST(
        run("dawit", {"diff", second}).value().text ==
        second + " open\ndrain/zone-isan-a\n+ retired: true\n");
    const auto history = run("selam", {"history"}).value();
    BOOST_TEST(history.json.as_array().size() == 2U);
}

BOOST_AUTO_TEST_CASE(output_names_the_next_step)
{
    accept_zone();
    const auto proposed = run("selam", {"drain", "zone", "isan-a"}).value();
    const auto id = proposed.text.substr(0, proposed.text.find(' '));
    BOOST_TEST(proposed.text == id + " open\n");
    BOOST_TEST(
        proposed.next_step ==
        "the other operator runs `waxwingvalve review " + id + "`");
    const auto reviewed = run("dawit", {"review", id}).value();
    BOOST_TEST(
        reviewed.next_step ==
        "either operator runs `waxwingvalve accept " + id + "`");
    const auto accepted = run("selam", {"accept", id}).value();
    BOOST_TEST(accepted.text == id + " accepted revision 2\n");
}

BOOST_AUTO_TEST_CASE(check_names_the_invalid_file)
{
    const std::string path = temporary_file("check");
    std::ofstream{path} << R"({"kind": "drain", "schema_version": 7})";
    const auto checked = cli::check_file(path);
    BOOST_REQUIRE(!checked.has_value());
    BOOST_TEST((checked.error().code == result_code::record_version_unknown));
    BOOST_TEST(checked.error().detail.starts_with(path));
}

BOOST_AUTO_TEST_SUITE_END()
