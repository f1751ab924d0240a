// Claims keys without a prefix in the platform's table, whatever is lost.
//
// A claim is a conditional create with an attempt id that is used only once.
// When the store's answer is lost, reading the row back tells whose it is. A
// row that is not there may still be on its way, so the same claim is made
// again: whichever of the two arrives first carries the same attempt id.
#pragma once

#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"
#include "decision/filings/claim_row.hpp"
#include "store/table_service.hpp"

namespace waxwingvalve::daemon::serving
{

enum class claim_verdict : std::uint8_t
{
    // This attempt, and no other ever, may run the key.
    mine,
    // `row` says who holds the key and how that ended.
    held,
    // Not settled: nothing may run, and nothing is known of the key.
    failed,
};

struct claim_result
{
    claim_verdict what{claim_verdict::failed};
    decision::filings::claim_row row{};
    base::error reason{};
};

template <store::table_service Table>
class filings_claims
{
public:
    explicit filings_claims(Table table) : table_{std::move(table)} {}

    // `row` is a claimed one with an attempt id that no other claim has.
    boost::asio::awaitable<claim_result> take(
        std::string key, decision::filings::claim_row row)
    {
        using base::result_code;
        base::error last{result_code::platform_unreachable};
        for (int round = 0; round < claim_rounds; ++round)
        {
            const auto create = to_write(key, row, absent);
            const auto created = co_await table_.commit(create);
            if (created)
            {
                co_return settled(claim_verdict::mine, std::move(row));
            }
            last = created.error();
            const bool may_exist =
                last.code == result_code::platform_conflict ||
                last.code == result_code::platform_outcome_unknown;
            if (!may_exist)
            {
                break;
            }
            auto found = co_await read_back(key, row);
            if (found.what != claim_verdict::failed ||
                found.reason.code != result_code::object_missing)
            {
                co_return found;
            }
        }
        co_return failed(std::move(last));
    }

    // Writes how the attempt ended into its own row; false when that is not
    // sure. Idempotent: only the first write finds the row as claimed.
    boost::asio::awaitable<bool> record(
        std::string key, decision::filings::claim_row row)
    {
        const auto write = to_write(key, row, first_version);
        const auto written = co_await table_.commit(write);
        co_return written ||
            written.error().code == base::result_code::platform_conflict;
    }

private:
    static constexpr int claim_rounds = 3;
    static constexpr std::uint64_t absent = 0;
    static constexpr std::uint64_t first_version = 1;

    static claim_result settled(
        claim_verdict what, decision::filings::claim_row row)
    {
        return {what, std::move(row), {}};
    }

    static claim_result failed(base::error reason)
    {
        return {claim_verdict::failed, {}, std::move(reason)};
    }

    static store::transaction to_write(
        const std::string& key,
        const decision::filings::claim_row& row,
        std::uint64_t version)
    {
        const std::string table{decision::filings::claims_table};
        return {
            .conditions = {{table, key, version}},
            .writes = {{table, key, decision::filings::to_json(row)}}};
    }

    // `failed` with object_missing when there is no row.
    boost::asio::awaitable<claim_result> read_back(
        const std::string& key, const decision::filings::claim_row& own)
    {
        const auto row =
            co_await table_.read(decision::filings::claims_table, key);
        if (!row)
        {
            co_return failed(row.error());
        }
        if (!row.value())
        {
            base::error reason{base::result_code::object_missing, key};
            co_return failed(std::move(reason));
        }
        auto parsed = decision::filings::parse_claim_row(row.value()->value);
        if (!parsed)
        {
            co_return failed(parsed.error());
        }
        const bool mine = parsed.value().attempt == own.attempt;
        co_return settled(
            mine ? claim_verdict::mine : claim_verdict::held,
            std::move(parsed).value());
    }

    Table table_;
};

} // namespace waxwingvalve::daemon::serving
