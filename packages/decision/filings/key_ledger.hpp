// In-memory deduplication table for the idempotency keys that carry the prefix
// of this daemon incarnation.
//
// A request runs at most once per key. A key is stored while its epoch is
// live; a new epoch begins each minute and the latest ten are live. When an
// epoch expires, its keys are removed and the ledger admits no key of that
// epoch any more, so that removing keys cannot cause a second run.
//
// A refusal is stored like an answer: once a caller was told that the request
// did not run, it never runs under that key.
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
#include "decision/filings/idempotency_key.hpp"
#include "decision/filings/request_digest.hpp"

namespace waxwingvalve::decision::filings
{

inline constexpr std::chrono::minutes epoch_length{1};
inline constexpr std::uint64_t max_live_epochs = 10;

// Bounds on the memory of a ledger.
struct ledger_limits
{
    // An epoch with this many keys accepts no new ones.
    std::size_t max_keys_per_epoch{12'000};
    // Total size of the recorded answers of all live epochs.
    std::size_t max_total_answer_bytes{8UL * 1024 * 1024};
    // A larger answer is not recorded.
    std::size_t max_answer_bytes{64UL * 1024};
};

// The run ended with an answer; `bytes` is its size.
template <class Answer>
struct done
{
    Answer answer{};
    std::size_t bytes{};
};

// The request did not reach an upstream and never will.
struct not_run
{
    base::result_code reason{};
};

// The request may have run.
struct unknown
{
};

// How a run ended.
template <class Answer>
using run_outcome = std::variant<done<Answer>, not_run, unknown>;

// What the ledger decides about a request with an idempotency key.
enum class key_verdict : std::uint8_t
{
    // The caller of admit() must run the request and call finish().
    run,
    // The first request is still running; its outcome answers this one too.
    wait,
    // The request ran; `answer` is null if its answer was not recorded.
    recorded,
    // The request may have run and is not run again.
    unknown,
    // The request did not run and never will; see `reason`.
    refused,
    // The key was used for a different request before.
    key_reused,
    // The epoch has expired or has not begun: the ledger cannot tell whether
    // the request ran.
    epoch_closed,
    // The epoch accepts no new key: the request did not run and never will.
    epoch_full,
};

// Result of admit().
template <class Answer>
struct key_admission
{
    key_verdict verdict{};
    std::shared_ptr<const Answer> answer{};
    base::result_code reason{};
};

// Decides whether a request with an owned key runs, and stores its outcome.
template <class Answer>
class key_ledger
{
public:
    // `incarnation` must be higher than that of any earlier start under this
    // daemon name. Epoch 1 begins at `start`.
    key_ledger(
        std::string daemon,
        std::uint64_t incarnation,
        base::instant start,
        ledger_limits limits = {})
        : daemon_{std::move(daemon)},
          incarnation_{incarnation}, start_{start}, limits_{limits}
    {
    }

    // Returns the prefix for new keys, with the epoch of `now`.
    std::string prefix(base::instant now)
    {
        advance(now);
        return to_string(key_prefix{daemon_, incarnation_, newest_epoch_});
    }

    // Whether keys with this prefix are stored by this incarnation.
    bool owns(const key_prefix& prefix) const
    {
        return prefix.daemon == daemon_ && prefix.incarnation == incarnation_;
    }

    // Looks `key` up and adds it if it is new. Precondition: the key has a
    // prefix that this ledger owns.
    key_admission<Answer> admit(
        const idempotency_key& key,
        const request_digest& digest,
        base::instant now)
    {
        advance(now);
        const auto number = key.prefix->epoch;
        if (number > newest_epoch_ || number + max_live_epochs <= newest_epoch_)
        {
            return {key_verdict::epoch_closed, {}, {}};
        }
        auto& epoch_state = epochs_[number];
        const auto found = epoch_state.entries.find(key.local);
        if (found != epoch_state.entries.end())
        {
            return admit_repeated(found->second, digest);
        }
        if (epoch_state.entries.size() >= limits_.max_keys_per_epoch)
        {
            return {key_verdict::epoch_full, {}, {}};
        }
        epoch_state.entries.emplace(
            key.local, entry{digest, key_state::running, {}, {}, 0});
        return {key_verdict::run, {}, {}};
    }

    // Records the outcome of a run that admit() allowed. Does nothing if the
    // epoch of the key has expired or the outcome is already recorded.
    void finish(const idempotency_key& key, run_outcome<Answer> outcome)
    {
        const auto epoch_state = epochs_.find(key.prefix->epoch);
        if (epoch_state == epochs_.end())
        {
            return;
        }
        const auto found = epoch_state->second.entries.find(key.local);
        if (found == epoch_state->second.entries.end() ||
            found->second.status != key_state::running)
        {
            return;
        }
        auto& known = found->second;
        if (auto* refused = std::get_if<not_run>(&outcome))
        {
            known.status = key_state::refused;
            known.reason = refused->reason;
            return;
        }
        auto* answered = std::get_if<done<Answer>>(&outcome);
        known.status =
            answered != nullptr ? key_state::done : key_state::unknown;
        if (answered != nullptr && answered->bytes <= limits_.max_answer_bytes)
        {
            record_answer(epoch_state->second, key.local, std::move(*answered));
        }
    }

    // Number of keys in all live epochs.
    std::size_t keys() const
    {
        std::size_t sum{};
        for (const auto& [number, epoch_state] : epochs_)
        {
            sum += epoch_state.entries.size();
        }
        return sum;
    }

    // Total size of the recorded answers.
    std::size_t recorded_answer_bytes() const { return recorded_answer_bytes_; }

private:
    enum class key_state : std::uint8_t
    {
        running,
        done,
        refused,
        unknown,
    };

    // Invariant: `answer` is set only in state `done`; `bytes` is its size.
    struct entry
    {
        request_digest digest{};
        key_state status{};
        base::result_code reason{};
        std::shared_ptr<const Answer> answer{};
        std::size_t bytes{};
    };

    // Invariant: `recorded` lists the keys of the entries with an answer,
    // oldest first. Entries are removed only together with their epoch.
    struct epoch
    {
        std::unordered_map<std::string, entry> entries{};
        std::deque<std::string> recorded{};
    };

    // Moves on to the epoch of `now` and removes expired epochs.
    void advance(base::instant now)
    {
        const auto passed =
            std::max<std::int64_t>(0, (now - start_) / epoch_length);
        newest_epoch_ =
            std::max(newest_epoch_, static_cast<std::uint64_t>(passed) + 1);
        while (!epochs_.empty() &&
               epochs_.begin()->first + max_live_epochs <= newest_epoch_)
        {
            remove_oldest_epoch();
        }
    }

    void remove_oldest_epoch()
    {
        for (const auto& [local, removed] : epochs_.begin()->second.entries)
        {
            recorded_answer_bytes_ -= removed.bytes;
        }
        epochs_.erase(epochs_.begin());
    }

    key_admission<Answer> admit_repeated(
        const entry& known, const request_digest& digest)
    {
        if (known.digest != digest)
        {
            return {key_verdict::key_reused, {}, {}};
        }
        switch (known.status)
        {
        case key_state::running:
            return {key_verdict::wait, {}, {}};
        case key_state::done:
            return {key_verdict::recorded, known.answer, {}};
        case key_state::refused:
            return {key_verdict::refused, {}, known.reason};
        case key_state::unknown:
            break;
        }
        return {key_verdict::unknown, {}, {}};
    }

    void record_answer(
        epoch& epoch_state, const std::string& local, done<Answer> answered)
    {
        if (answered.bytes > limits_.max_total_answer_bytes)
        {
            return;
        }
        while (recorded_answer_bytes_ + answered.bytes >
               limits_.max_total_answer_bytes)
        {
            evict_oldest_answer();
        }
        auto& known = epoch_state.entries.at(local);
        known.answer =
            std::make_shared<const Answer>(std::move(answered.answer));
        known.bytes = answered.bytes;
        recorded_answer_bytes_ += answered.bytes;
        epoch_state.recorded.push_back(local);
    }

    // Evicts the oldest answer of the oldest epoch that has one: a repeat comes
    // soon after the first request or not at all. The key stays `done`.
    void evict_oldest_answer()
    {
        for (auto& [number, epoch_state] : epochs_)
        {
            if (epoch_state.recorded.empty())
            {
                continue;
            }
            auto& oldest = epoch_state.entries.at(epoch_state.recorded.front());
            recorded_answer_bytes_ -= std::exchange(oldest.bytes, 0);
            oldest.answer.reset();
            epoch_state.recorded.pop_front();
            return;
        }
        recorded_answer_bytes_ = 0;
    }

    std::string daemon_;
    std::uint64_t incarnation_;
    base::instant start_;
    ledger_limits limits_;
    std::uint64_t newest_epoch_{1};
    // Invariant: contains only live epochs; `recorded_answer_bytes_` is the sum
    // of `bytes` of all entries and at most `limits_.max_total_answer_bytes`.
    std::map<std::uint64_t, epoch> epochs_;
    std::size_t recorded_answer_bytes_{0};
};

} // namespace waxwingvalve::decision::filings
