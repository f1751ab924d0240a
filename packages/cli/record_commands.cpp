#include "cli/record_commands.hpp"

#include <charconv>
#include <random>

#include <fmt/format.h>

#include "decision/records/layout.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::cli
{
namespace
{

namespace asio = boost::asio;
using namespace decision::records;
using base::fail;
using base::result;
using base::result_code;
using boost::outcome_v2::failure;

std::string new_id()
{
    std::random_device source;
    return fmt::format("p-{:08x}", source());
}

platform::row_write write_row(
    std::string_view table, std::string_view key, std::string value)
{
    return {std::string{table}, std::string{key}, std::move(value)};
}

} // namespace

asio::awaitable<result<record_commands::stored_proposal>> record_commands::load(
    std::string id)
{
    const auto row = co_await table_.read(proposals_table, id);
    if (!row)
    {
        co_return failure(row.error());
    }
    if (!row.value())
    {
        co_return fail(result_code::proposal_missing, id);
    }
    auto parsed = parse_proposal(row.value()->value);
    if (!parsed)
    {
        co_return failure(parsed.error());
    }
    co_return stored_proposal{std::move(parsed).value(), row.value()->version};
}

asio::awaitable<result<record_commands::stored_head>>
record_commands::load_head()
{
    const auto row = co_await table_.read(head_table, head_key);
    if (!row)
    {
        co_return failure(row.error());
    }
    stored_head out;
    if (row.value())
    {
        const auto& text = row.value()->value;
        std::from_chars(text.data(), text.data() + text.size(), out.revision);
        out.row_version = row.value()->version;
    }
    co_return out;
}

asio::awaitable<result<proposal>> record_commands::store(
    proposal changed, std::uint64_t row_version)
{
    platform::transaction change;
    change.conditions.push_back(
        {std::string{proposals_table}, changed.id, row_version});
    change.writes.push_back(
        write_row(proposals_table, changed.id, to_json(changed)));
    auto written = co_await table_.commit(change);
    if (!written)
    {
        co_return failure(written.error());
    }
    co_return changed;
}

asio::awaitable<result<proposal>> record_commands::propose(
    std::string record_json)
{
    if (auto parsed = schema::parse_record(record_json); !parsed)
    {
        co_return failure(parsed.error());
    }
    const auto head = co_await load_head();
    if (!head)
    {
        co_return failure(head.error());
    }
    proposal drafted{
        .id = new_id(),
        .author = operator_,
        .based_on = head.value().revision,
        .record_json = std::move(record_json)};
    co_return co_await store(std::move(drafted), 0);
}

asio::awaitable<result<proposal>> record_commands::review(std::string id)
{
    auto found = co_await load(std::move(id));
    if (!found)
    {
        co_return failure(found.error());
    }
    auto changed = decision::records::review(found.value().value, operator_);
    if (!changed)
    {
        co_return failure(changed.error());
    }
    co_return co_await store(
        std::move(changed).value(), found.value().row_version);
}

asio::awaitable<result<proposal>> record_commands::accept(std::string id)
{
    auto found = co_await load(std::move(id));
    if (!found)
    {
        co_return failure(found.error());
    }
    const auto head = co_await load_head();
    if (!head)
    {
        co_return failure(head.error());
    }
    auto changed = decision::records::accept(
        found.value().value, operator_, head.value().revision);
    if (!changed)
    {
        co_return failure(changed.error());
    }
    const auto& accepted = changed.value();
    const auto parsed = schema::parse_record(accepted.record_json);
    if (!parsed)
    {
        co_return failure(parsed.error());
    }

    platform::transaction change;
    change.conditions = {
        {std::string{proposals_table}, accepted.id, found.value().row_version},
        {std::string{head_table},
         std::string{head_key},
         head.value().row_version}};
    change.writes = {
        write_row(proposals_table, accepted.id, to_json(accepted)),
        write_row(
            records_table,
            record_key(parsed.value().kind, parsed.value().name),
            accepted.record_json),
        write_row(head_table, head_key, std::to_string(accepted.accepted_as))};
    auto written = co_await table_.commit(change);
    if (!written)
    {
        co_return failure(written.error());
    }
    co_return changed;
}

asio::awaitable<result<proposal>> record_commands::reject(std::string id)
{
    auto found = co_await load(std::move(id));
    if (!found)
    {
        co_return failure(found.error());
    }
    auto changed = decision::records::reject(found.value().value, operator_);
    if (!changed)
    {
        co_return failure(changed.error());
    }
    co_return co_await store(
        std::move(changed).value(), found.value().row_version);
}

} // namespace waxwingvalve::cli
