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

std::string describe_next_step(const proposal& described_proposal)
{
    switch (described_proposal.state)
    {
    case proposal_state::open:
        return fmt::format(
            "the other operator runs `waxwingvalve review {}`",
            described_proposal.id);
    case proposal_state::reviewed:
        return fmt::format(
            "either operator runs `waxwingvalve accept {}`",
            described_proposal.id);
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

command_output describe(const proposal& described_proposal)
{
    auto text = fmt::format(
        "{} {}", described_proposal.id, to_string(described_proposal.state));
    json::object value{
        {"proposal", described_proposal.id},
        {"record", described_proposal.record_key},
        {"state", to_string(described_proposal.state)},
        {"author", described_proposal.author}};
    if (described_proposal.accepted_as != 0)
    {
        text += fmt::format(" revision {}", described_proposal.accepted_as);
        value["revision"] = described_proposal.accepted_as;
    }
    return {
        text + '\n', std::move(value), describe_next_step(described_proposal)};
}

command_output describe(const decision::records::accepted_change& change)
{
    return {
        fmt::format(
            "{} {} {} proposed by {} reviewed by {} accepted by {} digest "
            "{}\n",
            change.revision,
            change.key,
            change.proposal_id,
            change.author,
            change.reviewer,
            change.closed_by,
            change.digest),
        json::object{
            {"revision", change.revision},
            {"record", change.key},
            {"proposal", change.proposal_id},
            {"author", change.author},
            {"reviewer", change.reviewer},
            {"accepted_by", change.closed_by},
            {"digest", change.digest}},
        {}};
}

int print(const command_result& outcome, output_format format)
{
    if (!outcome)
    {
        return print_failure(outcome.error(), format);
    }
    const auto& out = outcome.value();
    if (format == output_format::json)
    {
        std::cout << json::serialize(out.json) << '\n';
        return EXIT_SUCCESS;
    }
    std::cout << out.text << std::flush;
    if (!out.next_step.empty())
    {
        std::cerr << "next: " << out.next_step << '\n';
    }
    return EXIT_SUCCESS;
}

} // namespace waxwingvalve::cli
