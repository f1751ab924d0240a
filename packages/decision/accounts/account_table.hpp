// Finds the client account of a key.
//
// Keys are kept and compared as HMAC-SHA-256 codes under a secret that each
// process draws, so that the time of a look-up tells a caller nothing of the
// keys, and the table holds none.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.hpp"
#include "decision/accounts/client_account.hpp"

namespace waxwingvalve::decision::accounts
{

// Secret of the codes that keys are kept as.
using table_secret = std::array<unsigned char, 32>;

table_secret draw_secret();

// Checks what the accounts of one configuration must hold together: names and
// keys are there, well-formed and unique. Errors: record_invalid, which names
// the account, and never a key.
base::result<void> check_accounts(const std::vector<client_account>& accounts);

class account_table
{
public:
    using account_ptr = std::shared_ptr<const client_account>;

    account_table() = default;
    // `accounts` has passed check_accounts. The accounts of the table hold no
    // keys.
    account_table(
        const std::vector<client_account>& accounts,
        const table_secret& secret);

    // Requests need no key where the configuration has no account.
    bool empty() const { return by_code_.empty() && accounts_ == 0; }
    std::size_t size() const { return accounts_; }

    // Returns null for an unknown key.
    account_ptr find(std::string_view key) const;

private:
    using key_code = std::array<unsigned char, 32>;
    struct code_hash
    {
        // The codes are hashes already.
        std::size_t operator()(const key_code& code) const;
    };

    key_code code_of(std::string_view key) const;

    table_secret secret_{};
    std::size_t accounts_{0};
    std::unordered_map<key_code, account_ptr, code_hash> by_code_;
};

} // namespace waxwingvalve::decision::accounts
