// Which daemon owns the quota of an account: the first in its rendezvous
// ranking of the live daemons.
//
// Daemons learn of one another at different times. So that two of them do not
// grant the tokens of one account for long, a daemon that has just started owns
// nothing, and its successor in the ranking goes on until it has known that
// daemon for a while, with few of the tokens towards the end.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "decision/quotas/quota_limit.hpp"

namespace waxwingvalve::decision::quotas
{

// A daemon that is not leaving, as this daemon knows it.
struct quota_member
{
    // Digest of the name.
    std::uint64_t key{};
    // Since its heartbeat last advanced; 0 for this daemon.
    base::duration silence{};
    // Since it was first heard after its start or after a silence.
    base::duration known_for{};
};

struct quota_fleet
{
    std::uint64_t self{};
    // All known daemons, including this one; none that leaves.
    std::span<const quota_member> members{};
    // What settle_gate says; false once this daemon leaves.
    bool settled{};
};

// A daemon owns no account for so long after its start: it does not know all
// others yet.
inline constexpr base::duration quota_settle_time{std::chrono::seconds{1}};
// Its list of daemons is complete when none has joined it for this long.
inline constexpr base::duration complete_list_time{
    std::chrono::milliseconds{500}};
// After this time it owns accounts with any list, since others may join again
// and again.
inline constexpr base::duration max_settle_time{std::chrono::seconds{4}};
// A daemon that is silent for longer is not asked.
inline constexpr base::duration quota_silence{std::chrono::seconds{4}};
// An owner takes over from the next one in the ranking when it has been known
// for this long. Long enough that all daemons have heard of it.
inline constexpr base::duration takeover_time{std::chrono::seconds{4}};
// Most daemons ask a returning owner once it has been known for this long.
inline constexpr base::duration handover_time{std::chrono::milliseconds{500}};
// The part of the tokens that the daemon in its place grants from then on, to
// those that have not heard of the owner yet.
inline constexpr double handover_part = 0.25;

// What a daemon knows of its own list of daemons.
struct member_list_state
{
    // Since this daemon started.
    base::duration started_for{};
    // Since another daemon joined the list.
    base::duration complete_for{};
    // It knows no other daemon, but there should be some.
    bool alone{};
};

// Whether this daemon may own accounts. Once it may, others that join say
// nothing against its list: an owner that paused for each would have granted
// tokens that the next one doesn't know of.
class settle_gate
{
public:
    bool open(const member_list_state& list)
    {
        const bool complete = list.complete_for >= complete_list_time ||
                              list.started_for >= max_settle_time;
        was_complete_ = was_complete_ ||
                        (list.started_for >= quota_settle_time && complete);
        return was_complete_ && !list.alone;
    }

private:
    bool was_complete_{false};
};

// The heard daemons that may own the account, best first, at most `most`.
std::vector<std::uint64_t> rank_owners(
    account_digest account, const quota_fleet& fleet, std::size_t most);

// The part of the account's tokens, in [0, 1], that this daemon may grant; 0 if
// another daemon owns the account, or none does because this one does not hear
// most of the known daemons.
double owned_share(account_digest account, const quota_fleet& fleet);

// Whether a daemon that precedes this one in the account's ranking is heard, so
// that this one owns it at most until that one is known for long enough.
bool owns_for_another(account_digest account, const quota_fleet& fleet);

// The part of an account's rate that this daemon may send on its own while no
// owner answers. All of them together stay far below the rate, since an owner
// that this daemon does not reach may go on granting.
double uncoordinated_share(const quota_fleet& fleet);

} // namespace waxwingvalve::decision::quotas
