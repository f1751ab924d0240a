// Messages about quotas of client accounts between daemons: the aggregate types
// and their encoding.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/result.hpp"

namespace waxwingvalve::schema
{

inline constexpr std::uint32_t quota_schema_version = 1;
// Larger messages would not fit into one datagram of any link, in bytes.
inline constexpr std::size_t max_quota_message = 1'400;
// Requests and grants of one message, which then fits.
inline constexpr std::size_t max_leases_per_message = 40;

// A holder asks the owner of an account's quota.
struct lease_request
{
    // Digest of the account's name.
    std::uint64_t account{};
    // Counts the holder's requests, for all accounts; one that is sent again
    // has the same.
    std::uint32_t sequence{};
    // Tokens for requests that wait, and for those to come.
    std::uint16_t needed{};
    std::uint16_t ahead{};
    // Tokens that were spent since the last request that was answered.
    std::uint16_t spent{};
    // Tokens told as spent whose requests have not run.
    std::uint16_t returned{};
};

enum class lease_status : std::uint8_t
{
    granted,
    // The asked daemon does not own the account now.
    not_owner,
};

struct lease_grant
{
    std::uint64_t account{};
    // Of the request.
    std::uint32_t sequence{};
    std::uint16_t tokens{};
    // If there are fewer than needed: when further ones are likely.
    std::uint32_t retry_after_ms{};
    lease_status status{lease_status::granted};
};

struct quota_message
{
    // Digest of the sender's name, and its start.
    std::uint64_t sender{};
    std::uint64_t incarnation{};
    std::vector<lease_request> requests{};
    std::vector<lease_grant> grants{};
};

// Whether the bytes are meant to be such a message.
bool is_quota_message(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> encode(const quota_message& message);

// Errors: message_malformed, message_version_unknown.
base::result<quota_message> parse_quota_message(
    std::span<const std::uint8_t> bytes);

} // namespace waxwingvalve::schema
