#include "cli/output.hpp"

#include <cstdlib>
#include <iostream>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace waxwingvalve::cli
{
namespace
{

namespace json = boost::json;
using decision::records::proposal;
using decision::records::proposal_state;

std::string next_step(const proposal& one)
{
    switch (one.state)
    {
    case proposal_state::open:
        return fmt::format(
            "the other operator runs `waxwingvalve review {}`", one.id);
    case proposal_state::reviewed:
        return fmt::format(
            "either operator runs `waxwingvalve accept {}`", one.id);
    case proposal_state::accepted:
        return "`waxwingvalve status` shows which daemons have it in force";
    case proposal_state::rejected:
        return "propose the record anew once it is agreed on";
    }
    return {};
}

int print_failure(const base::error& failure, output_format format)
{
    const auto& row = base::describe(failure.code);
    if (format == output_format::json)
    {
        std::cerr << json::serialize(json::object{
                         {"code", base::number(failure.code)},
                         {"name", row.name},
                         {"message", row.message},
                         {"detail", failure.detail}})
                  << '\n';
    }
    else
    {
        std::cerr << to_string(failure) << '\n';
    }
    return row.exit_status;
}

} // namespace

command_output describe(const proposal& one)
{
    auto text = fmt::format("{} {}", one.id, to_string(one.state));
    json::object value{
        {"proposal", one.id},
        {"record", one.record_key},
        {"state", to_string(one.state)},
        {"author", one.author}};
    if (one.accepted_as != 0)
    {
        text += fmt::format(" revision {}", one.accepted_as);
        value["revision"] = one.accepted_as;
    }
    return {text + '\n', std::move(value), next_step(one)};
}

command_output describe(const decision::records::accepted_change& one)
{
    return {
        fmt::format(
            "{} {} {} proposed by {} reviewed by {} accepted by {} digest "
            "{}\n",
            one.revision,
            one.key,
            one.proposal_id,
            one.author,
            one.reviewer,
            one.closed_by,
            one.digest),
        json::object{
            {"revision", one.revision},
            {"record", one.key},
            {"proposal", one.proposal_id},
            {"author", one.author},
            {"reviewer", one.reviewer},
            {"accepted_by", one.closed_by},
            {"digest", one.digest}},
        {}};
}

int print(const command_result& done, output_format format)
{
    if (!done)
    {
        return print_failure(done.error(), format);
    }
    const auto& out = done.value();
    if (format == output_format::json)
    {
        std::cout << json::serialize(out.json) << '\n';
        return EXIT_SUCCESS;
    }
    std::cout << out.text << std::flush;
    if (!out.next.empty())
    {
        std::cerr << "next: " << out.next << '\n';
    }
    return EXIT_SUCCESS;
}

} // namespace waxwingvalve::cli
