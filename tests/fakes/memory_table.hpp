// In-memory table service that can simulate outages, lost requests and
// responses lost after the commit took effect.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "store/table_service.hpp"

namespace waxwingvalve::fakes
{

class memory_table
{
public:
    bool down{false};
    // Number of next commits that take effect but fail with
    // platform_outcome_unknown.
    int responses_to_drop{0};
    // Number of next commits that do not take effect and fail with
    // platform_outcome_unknown.
    int requests_to_drop{0};
    // Runs once before the next commit to simulate a concurrent writer.
    std::function<void()> before_commit{};
    int commits{0};

    boost::asio::awaitable<base::result<std::optional<store::table_row>>> read(
        std::string_view table, std::string_view key)
    {
        if (down)
        {
            co_return base::fail(base::result_code::platform_unreachable);
        }
        const auto found = rows_.find({std::string{table}, std::string{key}});
        if (found == rows_.end() || !found->second.value)
        {
            co_return std::optional<store::table_row>{};
        }
        co_return std::optional<store::table_row>{
            {std::string{key}, *found->second.value, found->second.version}};
    }

    boost::asio::awaitable<base::result<std::vector<store::table_row>>> scan(
        std::string_view table, std::string_view prefix)
    {
        if (down)
        {
            co_return base::fail(base::result_code::platform_unreachable);
        }
        std::vector<store::table_row> matching_rows;
        for (const auto& [key, row] : rows_)
        {
            if (key.first == table && key.second.starts_with(prefix) &&
                row.value)
            {
                matching_rows.push_back({key.second, *row.value, row.version});
            }
        }
        co_return matching_rows;
    }

    boost::asio::awaitable<base::result<void>> commit(
        const store::transaction& change)
    {
        ++commits;
        if (auto concurrent_write = std::exchange(before_commit, {}))
        {
            concurrent_write();
        }
        if (down)
        {
            co_return base::fail(base::result_code::platform_unreachable);
        }
        if (requests_to_drop > 0)
        {
            --requests_to_drop;
            co_return base::fail(base::result_code::platform_outcome_unknown);
        }
        auto commit_result = apply(change);
        if (responses_to_drop > 0)
        {
            --responses_to_drop;
            co_return base::fail(base::result_code::platform_outcome_unknown);
        }
        co_return commit_result;
    }

private:
    struct stored
    {
        std::optional<std::string> value{};
        std::uint64_t version{};
    };

    base::result<void> apply(const store::transaction& change)
    {
        for (const auto& [table, key, version] : change.conditions)
        {
            const auto found = rows_.find({table, key});
            const auto current_version =
                found == rows_.end() || !found->second.value
                    ? 0
                    : found->second.version;
            if (current_version != version)
            {
                return base::fail(base::result_code::platform_conflict, key);
            }
        }
        for (const auto& [table, key, value] : change.writes)
        {
            auto& written = rows_[{table, key}];
            written.value = value;
            ++written.version;
        }
        return base::success();
    }

    std::map<std::pair<std::string, std::string>, stored> rows_;
};

static_assert(store::table_service<memory_table>);

} // namespace waxwingvalve::fakes
