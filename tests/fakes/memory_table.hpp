// A table service in memory, with the faults that the platform's has: down,
// and answers lost after the write took effect.
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
    // So many next commits take effect and report platform_outcome_unknown.
    int responses_to_drop{0};
    // So many next commits are lost on their way and report the same.
    int requests_to_drop{0};
    // Run once before the next commit, as another writer would.
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
        std::vector<store::table_row> out;
        for (const auto& [key, row] : rows_)
        {
            if (key.first == table && key.second.starts_with(prefix) &&
                row.value)
            {
                out.push_back({key.second, *row.value, row.version});
            }
        }
        co_return out;
    }

    boost::asio::awaitable<base::result<void>> commit(
        const store::transaction& change)
    {
        ++commits;
        if (auto other = std::exchange(before_commit, {}))
        {
            other();
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
        auto done = apply(change);
        if (responses_to_drop > 0)
        {
            --responses_to_drop;
            co_return base::fail(base::result_code::platform_outcome_unknown);
        }
        co_return done;
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
            const auto now = found == rows_.end() || !found->second.value
                                 ? 0
                                 : found->second.version;
            if (now != version)
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
