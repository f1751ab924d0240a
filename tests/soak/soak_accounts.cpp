#include "soak/soak_accounts.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace waxwingvalve::soak
{
namespace
{

// The users' terms: in any window an account may pass its quota by this.
constexpr std::chrono::seconds quota_window{5};
constexpr double quota_overshoot = 0.1;
constexpr double quota_slack = 20;

double bound_of(const soak_account& account)
{
    const double quota =
        account.requests_per_s * static_cast<double>(quota_window.count() + 1);
    return quota * (1 + quota_overshoot) + quota_slack;
}

std::size_t most_in_window(const std::vector<base::instant>& times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        while (times[first] + quota_window < times[i])
        {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

} // namespace

std::string key_field(const soak_account& account)
{
    return fmt::format("Authorization: Bearer {}\r\n", account.key);
}

std::string account_entries()
{
    std::string text;
    for (const auto& account : accounts)
    {
        text += fmt::format(
            R"(,{{"entry_type":"tenants","metadata":{{"name":"{0}"}},"spec":)"
            R"({{"api_keys":["{1}"],"rate_per_s":{2},"burst":{2}}}}})",
            account.name,
            account.key,
            account.requests_per_s);
    }
    return text;
}

void check_account(ledger& seen, const std::string& id, const std::string& head)
{
    auto& record = seen.attempts[id];
    const auto told = value_of(head, account_field);
    if (!record.account.empty() && told != record.account)
    {
        seen.broken.push_back(fmt::format(
            "the worker was told account \"{}\" for {} of {}",
            told,
            id,
            record.account));
    }
    const bool has_key = head.find("key-of-") != std::string::npos ||
                         head.find("Authorization") != std::string::npos;
    if (has_key)
    {
        seen.broken.push_back("a key reached a worker: " + id);
    }
    seen.runs_of_account[record.account].push_back(
        base::monotonic_clock::now());
}

void check_quotas(ledger& seen)
{
    for (const auto& account : accounts)
    {
        const auto runs =
            most_in_window(seen.runs_of_account[std::string{account.name}]);
        const double bound = bound_of(account);
        if (account.requests_per_s > 0 && static_cast<double>(runs) > bound)
        {
            seen.broken.push_back(fmt::format(
                "{} requests of account {} ran in a window, {} may",
                runs,
                account.name,
                bound));
        }
    }
}

} // namespace waxwingvalve::soak
