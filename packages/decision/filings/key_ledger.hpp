// The memory of one daemon incarnation for the keys under its own prefix.
//
// A key is let run at most once. The ledger remembers it for as long as its
// epoch is live; a new epoch begins each minute and the last ten are live.
// When an epoch is dropped its keys are forgotten, and no key of it is ever
// let run again, so that forgetting cannot make a second run.
//
// "Refused" is remembered like an answer: once a caller was told that its
// key did not run, the key never runs.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/result.hpp"
#include "base/time.hpp"
#include "decision/filings/filing_key.hpp"
#include "decision/filings/request_digest.hpp"

namespace waxwingvalve::decision::filings
{

inline constexpr std::chrono::minutes epoch_length{1};
inline constexpr std::uint64_t live_epochs = 10;

struct ledger_limits
{
    // New keys that one epoch takes.
    std::size_t keys_per_epoch{12'000};
    // Recorded answers of all live epochs together.
    std::size_t answer_bytes{8UL * 1024 * 1024};
    // An answer above this is not recorded.
    std::size_t one_answer_bytes{64UL * 1024};
};

// How a run ended.
template <class Answer>
struct done
{
    Answer answer{};
    std::size_t bytes{};
};

// Nothing of it can have reached an upstream, now or later.
struct not_run
{
    base::result_code reason{};
};

struct unknown
{
};

template <class Answer>
using ending = std::variant<done<Answer>, not_run, unknown>;

enum class verdict : std::uint8_t
{
    // The caller of admit has to run it and to report the ending.
    run,
    // The first copy still runs; its ending is the answer to this one too.
    wait,
    // It ran; `answer` is its answer, or null when that was not kept.
    recorded,
    // It may have run, and never runs again.
    unknown,
    // It never ran and never runs; `reason` says why it was refused.
    refused,
    // The key came with another request before.
    key_reused,
    // The epoch is over or has not begun: nothing is known of the key.
    epoch_closed,
    // The epoch takes no new key, so this one never ran and never runs.
    epoch_full,
};

template <class Answer>
struct admission
{
    verdict what{};
    std::shared_ptr<const Answer> answer{};
    base::result_code reason{};
};

template <class Answer>
class key_ledger
{
public:
    // `incarnation` must be higher than that of any earlier start under this
    // name; `start` begins epoch 1.
    key_ledger(
        std::string daemon,
        std::uint64_t incarnation,
        base::instant start,
        ledger_limits limits = {})
        : daemon_{std::move(daemon)},
          incarnation_{incarnation}, start_{start}, limits_{limits}
    {
    }

    // The prefix for keys that begin now.
    std::string prefix(base::instant now)
    {
        advance(now);
        return to_string(key_prefix{daemon_, incarnation_, newest_});
    }

    // True when this incarnation is the one that remembers the key.
    bool owns(const key_prefix& prefix) const
    {
        return prefix.daemon == daemon_ && prefix.incarnation == incarnation_;
    }

    // `key` must have a prefix that this ledger owns.
    admission<Answer> admit(
        const filing_key& key, const request_digest& digest, base::instant now)
    {
        advance(now);
        const auto number = key.prefix->epoch;
        if (number > newest_ || number + live_epochs <= newest_)
        {
            return {verdict::epoch_closed, {}, {}};
        }
        auto& at = epochs_[number];
        const auto found = at.entries.find(key.local);
        if (found != at.entries.end())
        {
            return repeat(found->second, digest);
        }
        if (at.entries.size() >= limits_.keys_per_epoch)
        {
            return {verdict::epoch_full, {}, {}};
        }
        at.entries.emplace(key.local, entry{digest, state::running, {}, {}, 0});
        return {verdict::run, {}, {}};
    }

    // Reports how the run that admit allowed has ended. A key whose epoch was
    // dropped meanwhile stays forgotten; a second report changes nothing.
    void finish(const filing_key& key, ending<Answer> how)
    {
        const auto at = epochs_.find(key.prefix->epoch);
        if (at == epochs_.end())
        {
            return;
        }
        const auto found = at->second.entries.find(key.local);
        if (found == at->second.entries.end() ||
            found->second.now != state::running)
        {
            return;
        }
        auto& ended = found->second;
        if (auto* refused = std::get_if<not_run>(&how))
        {
            ended.now = state::refused;
            ended.reason = refused->reason;
            return;
        }
        auto* answered = std::get_if<done<Answer>>(&how);
        ended.now = answered != nullptr ? state::done : state::unknown;
        if (answered != nullptr && answered->bytes <= limits_.one_answer_bytes)
        {
            keep(at->second, key.local, std::move(*answered));
        }
    }

    std::size_t keys() const
    {
        std::size_t sum{};
        for (const auto& [number, at] : epochs_)
        {
            sum += at.entries.size();
        }
        return sum;
    }

    std::size_t kept_bytes() const { return kept_bytes_; }

private:
    enum class state : std::uint8_t
    {
        running,
        done,
        refused,
        unknown,
    };

    // Invariant: `answer` is set only when done, and `bytes` counts it.
    struct entry
    {
        request_digest digest{};
        state now{};
        base::result_code reason{};
        std::shared_ptr<const Answer> answer{};
        std::size_t bytes{};
    };

    // Invariant: `kept` names the entries with an answer, oldest first, and
    // entries are only ever removed with their whole epoch.
    struct epoch
    {
        std::unordered_map<std::string, entry> entries{};
        std::deque<std::string> kept{};
    };

    void advance(base::instant now)
    {
        const auto passed =
            std::max<std::int64_t>(0, (now - start_) / epoch_length);
        newest_ = std::max(newest_, static_cast<std::uint64_t>(passed) + 1);
        while (!epochs_.empty() &&
               epochs_.begin()->first + live_epochs <= newest_)
        {
            drop_oldest();
        }
    }

    void drop_oldest()
    {
        for (const auto& [local, dropped] : epochs_.begin()->second.entries)
        {
            kept_bytes_ -= dropped.bytes;
        }
        epochs_.erase(epochs_.begin());
    }

    admission<Answer> repeat(const entry& known, const request_digest& digest)
    {
        if (known.digest != digest)
        {
            return {verdict::key_reused, {}, {}};
        }
        switch (known.now)
        {
        case state::running:
            return {verdict::wait, {}, {}};
        case state::done:
            return {verdict::recorded, known.answer, {}};
        case state::refused:
            return {verdict::refused, {}, known.reason};
        case state::unknown:
            break;
        }
        return {verdict::unknown, {}, {}};
    }

    void keep(epoch& at, const std::string& local, done<Answer> answered)
    {
        if (answered.bytes > limits_.answer_bytes)
        {
            return;
        }
        while (kept_bytes_ + answered.bytes > limits_.answer_bytes)
        {
            forget_oldest_answer();
        }
        auto& ended = at.entries.at(local);
        ended.answer =
            std::make_shared<const Answer>(std::move(answered.answer));
        ended.bytes = answered.bytes;
        kept_bytes_ += answered.bytes;
        at.kept.push_back(local);
    }

    // Drops one body, that of the oldest epoch first: a repeat comes soon
    // after its first copy or not at all. The key itself stays known as done.
    void forget_oldest_answer()
    {
        for (auto& [number, at] : epochs_)
        {
            if (at.kept.empty())
            {
                continue;
            }
            auto& oldest = at.entries.at(at.kept.front());
            kept_bytes_ -= std::exchange(oldest.bytes, 0);
            oldest.answer.reset();
            at.kept.pop_front();
            return;
        }
        kept_bytes_ = 0;
    }

    std::string daemon_;
    std::uint64_t incarnation_;
    base::instant start_;
    ledger_limits limits_;
    std::uint64_t newest_{1};
    // Invariant: holds only live epochs; `kept_bytes_` is the sum of the
    // bytes of all entries and at most `limits_.answer_bytes`.
    std::map<std::uint64_t, epoch> epochs_;
    std::size_t kept_bytes_{0};
};

} // namespace waxwingvalve::decision::filings
