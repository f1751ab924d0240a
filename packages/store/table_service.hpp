// Interface of the platform's transactional table service.
//
// Commits are atomic. If the response to a commit is lost, the commit fails
// with `platform_outcome_unknown` and the writer must read the rows back to
// find out whether it took effect. Writes whose outcome a caller may have to
// determine therefore carry a unique operation id.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"

namespace waxwingvalve::store
{

// Invariant: `version` is the number of writes to the row, at least 1.
struct table_row
{
    std::string key{};
    std::string value{};
    std::uint64_t version{};
};

// Requires the row to be at `version`; 0 requires that it does not exist.
struct row_condition
{
    std::string table{};
    std::string key{};
    std::uint64_t version{};
};

// Writes `value`, or deletes the row if there is none.
struct row_write
{
    std::string table{};
    std::string key{};
    std::optional<std::string> value{};
};

// The writes take effect only if all conditions hold.
struct transaction
{
    std::vector<row_condition> conditions{};
    std::vector<row_write> writes{};
};

// Errors of read and scan: platform_unreachable, platform_refused,
// platform_answer_invalid. Errors of commit: platform_unreachable (nothing
// written), platform_conflict (nothing written; names the row),
// platform_refused (nothing written), platform_outcome_unknown.
template <class T>
concept table_service =
    requires(T service, std::string_view text, const transaction& change)
{
    {
        service.read(text, text)
        } -> std::same_as<
            boost::asio::awaitable<base::result<std::optional<table_row>>>>;
    {
        service.scan(text, text)
        } -> std::same_as<
            boost::asio::awaitable<base::result<std::vector<table_row>>>>;
    {
        service.commit(change)
        } -> std::same_as<boost::asio::awaitable<base::result<void>>>;
};

} // namespace waxwingvalve::store
