// Reads and writes proposals and accepted records in the platform's tables.
//
// Every write carries an operation id. When the response to a commit is lost,
// the same transaction is sent again: its conditions make it take effect at
// most once, and the operation id in the row shows whether it did.
#pragma once

#include <charconv>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"
#include "decision/records/configuration.hpp"
#include "decision/records/layout.hpp"
#include "decision/records/proposal.hpp"
#include "store/table_service.hpp"

namespace waxwingvalve::cli
{

// A proposal and the version of its row.
struct stored_proposal
{
    decision::records::proposal value{};
    std::uint64_t row_version{};
};

// The accepted configuration at the time of the read, with the row versions
// that a write uses as conditions.
struct stored_configuration
{
    decision::records::configuration value{};
    std::uint64_t head_version{};
    std::map<std::string, std::uint64_t, std::less<>> row_versions{};
};

// Result of a conditional write.
enum class write_outcome : std::uint8_t
{
    written,
    // Another write was committed first; this one has no effect, now or later.
    conflict,
};

// Access to proposals and accepted records over a table service.
template <store::table_service Table>
class record_store
{
public:
    explicit record_store(Table& table) : table_{table} {}

    // Loads a proposal. Errors: those of table reads; proposal_missing.
    boost::asio::awaitable<base::result<stored_proposal>> load(std::string id)
    {
        using boost::outcome_v2::failure;
        const auto row =
            co_await table_.read(decision::records::proposals_table, id);
        if (!row)
        {
            co_return failure(row.error());
        }
        if (!row.value())
        {
            co_return base::fail(
                base::result_code::proposal_missing,
                id + "; see `waxwingvalve history` for those accepted");
        }
        auto parsed = decision::records::parse_proposal(row.value()->value);
        if (!parsed)
        {
            co_return failure(parsed.error());
        }
        co_return stored_proposal{
            std::move(parsed).value(), row.value()->version};
    }

    // Loads the accepted configuration. The head row is read before the
    // records: accepting a record also updates the head, so a write
    // conditioned on this head version conflicts with any accept that the
    // scan missed.
    boost::asio::awaitable<base::result<stored_configuration>>
    load_configuration()
    {
        using namespace decision::records;
        using boost::outcome_v2::failure;
        const auto head = co_await table_.read(head_table, head_key);
        if (!head)
        {
            co_return failure(head.error());
        }
        const auto rows = co_await table_.scan(records_table, "");
        if (!rows)
        {
            co_return failure(rows.error());
        }
        stored_configuration loaded;
        std::vector<accepted_change> changes;
        for (const auto& row : rows.value())
        {
            auto change = parse_change(row.value);
            if (!change)
            {
                co_return failure(change.error());
            }
            changes.push_back(std::move(change).value());
            loaded.row_versions.emplace(row.key, row.version);
        }
        revision head_revision{};
        if (head.value())
        {
            const auto& text = head.value()->value;
            std::from_chars(
                text.data(), text.data() + text.size(), head_revision);
            loaded.head_version = head.value()->version;
        }
        loaded.value = apply_changes({}, head_revision, changes).value;
        co_return loaded;
    }

    // Commits the transaction, sending it again while an earlier attempt may
    // have taken effect. Errors: those of commit except platform_conflict.
    // After platform_outcome_unknown the write may still take effect.
    boost::asio::awaitable<base::result<write_outcome>> commit_with_retry(
        const store::transaction& change,
        std::string proposal_id,
        std::string operation_id)
    {
        using base::result_code;
        constexpr int max_attempts = 4;
        bool unknown = false;
        base::error last_error{};
        for (int attempt = 0; attempt < max_attempts; ++attempt)
        {
            const auto written = co_await table_.commit(change);
            if (written)
            {
                co_return write_outcome::written;
            }
            last_error = written.error();
            if (last_error.code == result_code::platform_conflict)
            {
                co_return co_await find_operation(
                    std::move(proposal_id), std::move(operation_id));
            }
            unknown |= last_error.code == result_code::platform_outcome_unknown;
            if (!unknown)
            {
                break;
            }
        }
        if (unknown)
        {
            last_error.code = result_code::platform_outcome_unknown;
        }
        co_return boost::outcome_v2::failure(last_error);
    }

    Table& table() { return table_; }

private:
    // Finds out after a conflict whether an earlier attempt was committed. The
    // transaction's conditions cannot hold again, so this read is final.
    boost::asio::awaitable<base::result<write_outcome>> find_operation(
        std::string proposal_id, std::string operation_id)
    {
        auto found = co_await load(std::move(proposal_id));
        if (!found)
        {
            if (found.error().code == base::result_code::proposal_missing)
            {
                co_return write_outcome::conflict;
            }
            co_return base::fail(
                base::result_code::platform_outcome_unknown,
                to_string(found.error()));
        }
        co_return decision::records::has_operation(
            found.value().value, operation_id)
            ? write_outcome::written
            : write_outcome::conflict;
    }

    Table& table_;
};

} // namespace waxwingvalve::cli
