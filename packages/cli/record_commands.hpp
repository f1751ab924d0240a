// The operators' commands that write, review and accept records.
#pragma once

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"
#include "decision/records/proposal.hpp"
#include "platform/http_table_service.hpp"

namespace waxwingvalve::cli
{

// One operator at work on the platform's tables.
class record_commands
{
public:
    record_commands(
        platform::http_table_service& table, std::string operator_name)
        : table_{table}, operator_{std::move(operator_name)}
    {
    }

    // Stores a proposal of this record and returns it with its id.
    boost::asio::awaitable<base::result<decision::records::proposal>> propose(
        std::string record_json);

    boost::asio::awaitable<base::result<decision::records::proposal>> review(
        std::string id);

    // Puts the record in force as the next revision, in one transaction.
    boost::asio::awaitable<base::result<decision::records::proposal>> accept(
        std::string id);

    boost::asio::awaitable<base::result<decision::records::proposal>> reject(
        std::string id);

private:
    struct stored_proposal
    {
        decision::records::proposal value{};
        std::uint64_t row_version{};
    };
    struct stored_head
    {
        decision::records::revision revision{};
        std::uint64_t row_version{};
    };

    boost::asio::awaitable<base::result<stored_proposal>> load(std::string id);
    boost::asio::awaitable<base::result<stored_head>> load_head();
    boost::asio::awaitable<base::result<decision::records::proposal>> store(
        decision::records::proposal changed, std::uint64_t row_version);

    platform::http_table_service& table_;
    std::string operator_;
};

} // namespace waxwingvalve::cli
