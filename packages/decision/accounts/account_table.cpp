#include "decision/accounts/account_table.hpp"

#include <algorithm>
#include <cstring>
#include <set>
#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace waxwingvalve::decision::accounts
{
namespace
{

using base::fail;
using base::result_code;

// A byte that may stand anywhere in the value of a header field.
bool visible(char byte)
{
    return byte > ' ' && byte <= '~';
}

bool valid_key(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, visible);
}

// Blanks may stand inside of the value of a header field, not around it.
bool valid_name(std::string_view text)
{
    return !text.empty() && visible(text.front()) && visible(text.back()) &&
           std::ranges::all_of(
               text, [](char byte) { return visible(byte) || byte == ' '; });
}

} // namespace

table_secret draw_secret()
{
    table_secret secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
    {
        throw std::runtime_error{"no random bytes for a secret"};
    }
    return secret;
}

base::result<void> check_accounts(const std::vector<client_account>& accounts)
{
    std::set<std::string_view> names;
    std::set<std::string_view> keys;
    for (const auto& account : accounts)
    {
        if (!valid_name(account.name))
        {
            return fail(result_code::record_invalid, "account without a name");
        }
        const auto place = "account " + account.name;
        if (!names.insert(account.name).second)
        {
            return fail(result_code::record_invalid, place + " stands twice");
        }
        for (const auto& key : account.keys)
        {
            if (!valid_key(key))
            {
                return fail(
                    result_code::record_invalid, place + ": unusable key");
            }
            // Also of the same account: it would outlive one removal.
            if (!keys.insert(key).second)
            {
                return fail(
                    result_code::record_invalid,
                    place + ": a key that stands twice");
            }
        }
        const bool valid_quota =
            account.requests_per_s >= 0 && account.burst >= 0;
        if (!valid_quota)
        {
            return fail(result_code::record_invalid, place + ": quota");
        }
    }
    return base::success();
}

account_table::account_table(
    const std::vector<client_account>& accounts, const table_secret& secret)
    : secret_{secret}, accounts_{accounts.size()}
{
    for (const auto& account : accounts)
    {
        auto kept = account;
        kept.keys.clear();
        const auto shared =
            std::make_shared<const client_account>(std::move(kept));
        for (const auto& key : account.keys)
        {
            by_code_.emplace(code_of(key), shared);
        }
    }
}

std::size_t account_table::code_hash::operator()(const key_code& code) const
{
    std::size_t hash{};
    std::memcpy(&hash, code.data(), sizeof hash);
    return hash;
}

account_table::key_code account_table::code_of(std::string_view key) const
{
    key_code code{};
    unsigned int size = 0;
    const auto* made = HMAC(
        EVP_sha256(),
        secret_.data(),
        static_cast<int>(secret_.size()),
        reinterpret_cast<const unsigned char*>(key.data()),
        key.size(),
        code.data(),
        &size);
    if (made == nullptr)
    {
        throw std::runtime_error{"no code of a key"};
    }
    return code;
}

account_table::account_ptr account_table::find(std::string_view key) const
{
    const auto found = by_code_.find(code_of(key));
    return found == by_code_.end() ? nullptr : found->second;
}

} // namespace waxwingvalve::decision::accounts
