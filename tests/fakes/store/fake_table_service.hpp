// In-memory table service with scripted faults of reads and commits.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/table_service.hpp"

namespace waxwingvalve::fakes
{

// Fault injected into one call.
enum class table_fault : std::uint8_t
{
    none,
    // Nothing is written or read.
    unreachable,
    // The commit takes effect but its response is lost.
    response_lost,
    // The response is lost and the commit is applied only just before the next
    // commit that arrives.
    write_delayed,
};

struct table_state
{
    // Faults of the next calls in order; later calls have no fault.
    std::deque<table_fault> commit_faults{};
    std::deque<table_fault> read_faults{};
    std::map<std::pair<std::string, std::string>, store::table_row> rows{};
    std::vector<store::transaction> delayed_commits{};
    int commits{};
};

class fake_table_service
{
public:
    template <class T>
    using call = boost::asio::awaitable<base::result<T>>;

    explicit fake_table_service(std::shared_ptr<table_state> state)
        : state_{std::move(state)}
    {
    }

    call<std::optional<store::table_row>> read(
        std::string_view table, std::string_view key)
    {
        if (next(state_->read_faults) != table_fault::none)
        {
            co_return base::fail(base::result_code::platform_unreachable);
        }
        const auto found =
            state_->rows.find({std::string{table}, std::string{key}});
        if (found == state_->rows.end())
        {
            co_return std::optional<store::table_row>{};
        }
        co_return std::optional{found->second};
    }

    call<std::vector<store::table_row>> scan(
        std::string_view table, std::string_view prefix)
    {
        std::vector<store::table_row> matching_rows;
        for (const auto& [row_id, row] : state_->rows)
        {
            if (row_id.first == table && row_id.second.starts_with(prefix))
            {
                matching_rows.push_back(row);
            }
        }
        co_return matching_rows;
    }

    call<void> commit(const store::transaction& change)
    {
        ++state_->commits;
        const auto fault = next(state_->commit_faults);
        if (fault == table_fault::unreachable)
        {
            co_return base::fail(base::result_code::platform_unreachable);
        }
        if (fault == table_fault::write_delayed)
        {
            state_->delayed_commits.push_back(change);
            co_return base::fail(base::result_code::platform_outcome_unknown);
        }
        for (const auto& delayed : std::exchange(state_->delayed_commits, {}))
        {
            apply(delayed);
        }
        const bool written = apply(change);
        if (fault == table_fault::response_lost)
        {
            co_return base::fail(base::result_code::platform_outcome_unknown);
        }
        if (!written)
        {
            co_return base::fail(base::result_code::platform_conflict);
        }
        co_return base::success();
    }

private:
    static table_fault next(std::deque<table_fault>& faults)
    {
        if (faults.empty())
        {
            return table_fault::none;
        }
        const auto fault = faults.front();
        faults.pop_front();
        return fault;
    }

    bool apply(const store::transaction& change)
    {
        for (const auto& condition : change.conditions)
        {
            const auto found =
                state_->rows.find({condition.table, condition.key});
            const auto version =
                found != state_->rows.end() ? found->second.version : 0;
            if (version != condition.version)
            {
                return false;
            }
        }
        for (const auto& write : change.writes)
        {
            auto& row = state_->rows[{write.table, write.key}];
            row.key = write.key;
            row.value = write.value.value_or("");
            ++row.version;
        }
        return true;
    }

    std::shared_ptr<table_state> state_;
};

static_assert(store::table_service<fake_table_service>);

} // namespace waxwingvalve::fakes
