// The client accounts of the soak: their callers, and what must hold for them.
#pragma once

#include <array>
#include <string>
#include <string_view>

#include "soak/soak_ledger.hpp"

namespace waxwingvalve::soak
{

constexpr std::string_view account_field = "X-Waxwingvalve-Tenant";

struct soak_account
{
    std::string_view name{};
    std::string_view key{};
    // 0 for no quota.
    int requests_per_s{};
};

// The last one's callers send several times its quota.
constexpr std::array<soak_account, 3> accounts{{
    {"alpha", "key-of-alpha", 0},
    {"beta", "key-of-beta", 0},
    {"gamma", "key-of-gamma", 30},
}};

constexpr const soak_account& account_of(int caller)
{
    return accounts.at(static_cast<std::size_t>(caller) % accounts.size());
}

// The field of a request that names the account, with its line end.
std::string key_field(const soak_account& account);

// The accounts as entries of the platform's configuration, with a comma
// before each.
std::string account_entries();

// Checks what a worker was told of the account, whose request it is to run.
void check_account(
    ledger& seen, const std::string& id, const std::string& head);
// Checks that no account passed its quota in any window.
void check_quotas(ledger& seen);

} // namespace waxwingvalve::soak
