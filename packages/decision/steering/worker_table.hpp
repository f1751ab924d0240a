// The workers known from discovery, with the state this daemon observed.
//
// An entry comes from discovery; load, failures and remaining cold time are
// updated from the worker's own answers. A new incarnation of a worker resets
// the observed state.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/steering/cold_time.hpp"
#include "decision/steering/contact_loss.hpp"
#include "decision/steering/oversized_answers.hpp"
#include "decision/steering/worker_backoff.hpp"

namespace waxwingvalve::decision::steering
{

// Description of a worker from discovery.
struct worker_entry
{
    std::string id{};
    std::string service{};
    base::endpoint address{};
    std::string zone{};
    std::string version{};
    std::uint32_t slots{1};
    // Draining workers get no new requests.
    bool draining{};
    // Remaining cold time when the report was made.
    std::chrono::milliseconds cold_time_left{};
    // Start of this incarnation in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_ms{};
    // Sequence number of the report, which restarts with each incarnation.
    std::uint64_t report_number{};
    // The report was not written before this time; the clock's beginning if
    // nothing is known of its age.
    base::instant written_after{};
};

// Digest of the worker's id and start, the same on every daemon; never 0.
std::uint64_t incarnation_digest(const worker_entry& entry);

// Requests running and queued at a worker, by its own report.
struct load_report
{
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
};

// Why a worker is ejected, that is, gets no requests for some time.
enum class ejection_reason : std::uint8_t
{
    none,
    // Nothing listens at its address: it has ended.
    refused,
    // Its address answered nothing: it has ended, or the path is cut.
    silent,
    // It can't be reached for another reason, or the address belongs to another
    // worker.
    unreachable,
    // Its share of failed answers is far above that of its peers.
    failing,
};

class worker
{
public:
    // How long a worker stays ejected. Doubles with each consecutive ejection,
    // up to the maximum.
    static constexpr base::duration initial_ejection_time{
        std::chrono::seconds{1}};
    static constexpr base::duration max_ejection_time{std::chrono::seconds{8}};
    // A worker that answered a request this long ago is likely to be reached.
    static constexpr base::duration reached_time{std::chrono::seconds{2}};
    // How long a loss of contact that an answer has contradicted says nothing.
    static constexpr base::duration lost_alone_time{std::chrono::seconds{10}};
    // Weight of the newest answer in the moving average of failures.
    static constexpr double failure_weight = 0.15;
    // A worker is ejected when its share of failures reaches this value and
    // this multiple of the share of all workers of the service. When all of
    // them fail alike, ejections would only reduce capacity.
    static constexpr double min_failure_share = 0.5;
    static constexpr double peer_failure_factor = 1.6;
    // Time in which the reported load of other daemons decays to 1/e. Slow,
    // because all daemons that consider a full worker free again send to it at
    // the same time.
    static constexpr std::chrono::duration<double> report_decay{
        std::chrono::milliseconds{4'000}};

    explicit worker(worker_entry entry, base::instant now);

    const worker_entry& entry() const { return entry_; }
    // incarnation_digest of the entry.
    std::uint64_t incarnation() const { return incarnation_; }

    // Replaces the entry by a newer one of the same id. A new incarnation or
    // address resets the observed state.
    void update(worker_entry entry, base::instant now);

    // The worker said that it leaves: as if its entry said that it drains.
    void set_leaving() { entry_.draining = true; }

    // The time for which it wants no requests from this daemon.
    worker_backoff& backoff() { return backoff_; }
    const worker_backoff& backoff() const { return backoff_; }
    oversized_answers& oversized() { return oversized_; }

    void request_sent() { ++in_flight_; }
    // A probe that ends without an answer or failure frees the worker for the
    // next one.
    void request_ended()
    {
        --in_flight_;
        probe_in_flight_ = probe_in_flight_ && in_flight_ > 0;
    }
    std::uint32_t in_flight() const { return in_flight_; }

    void report(const load_report& load, base::instant now);
    // An answer of the worker to a request that was sent at `since` shows that
    // its address takes connections. Ends an ejection for an earlier loss of
    // contact.
    void listens_again(base::instant since, base::instant now);
    // Whether this daemon has reached it lately.
    bool reached_lately(base::instant now) const
    {
        return succeeded_at_ != base::instant{} &&
               now - succeeded_at_ < reached_time;
    }
    // Others have reached it while this daemon lost contact, as when only the
    // path is cut: that says nothing of the worker.
    // Silence that was contradicted may be of a full queue, and hides no
    // refusal.
    bool lost_to_this_daemon_alone(contact_loss how, base::instant now) const
    {
        const bool refused = how == contact_loss::refused;
        return now < (refused ? refused_alone_until_ : silent_alone_until_);
    }
    // The worker has answered a request of this daemon.
    void answered(const contact_proof& proof) { latest_answer_ = proof; }
    // Whether the process that took connections before `time` answered this
    // daemon after it.
    bool lived_through(base::instant time) const
    {
        return latest_answer_.spans(time);
    }
    // Another daemon has told that it lost contact with the worker.
    void end_told(base::instant now) { end_told_at_ = now; }
    base::instant end_told_at() const { return end_told_at_; }
    // What another source than its entry says.
    void set_cold_time(const cold_statement& said, base::instant now)
    {
        cold_time_.apply(said, now);
    }
    // `peer_failure_share` is the share of failures of all workers of the
    // service.
    void record_answer(
        bool failed, double peer_failure_share, base::instant now);
    // Records a request that timed out. Counts as a failure only if the worker
    // is on probation or its load fits its slots: queued requests time out at
    // healthy workers too, and ejecting these would move their load to others.
    void record_timeout(double peer_failure_share, base::instant now);
    void eject(ejection_reason reason, base::instant now);

    // Own requests plus the decayed load of other daemons.
    double load(base::instant now) const;
    std::uint32_t slots() const { return entry_.slots; }
    bool cold(base::instant now) const { return cold_time_.cold(now); }
    // Taken for cold until somebody has asked it.
    bool in_doubt(base::instant now) const
    {
        return cold(now) && is_assumption(known_cold_time().source);
    }
    const cold_statement& known_cold_time() const { return cold_time_.known(); }
    base::instant cold_known_since() const { return cold_time_.known_since(); }
    // Whether it has become cold, or started again, while it got its usual
    // requests.
    bool became_cold() const { return cold_time_.was_warm(); }
    ejection_reason ejection(base::instant now) const;
    // True after an ejection, until a request succeeds. Only one request at a
    // time, the probe, is sent meanwhile.
    bool on_probation() const { return on_probation_; }
    void begin_probe() { probe_in_flight_ = true; }
    bool probe_in_flight() const { return probe_in_flight_; }
    double failure_share() const { return failure_share_; }

private:
    void reset_observations();
    void end_ejection();
    void apply_entry_cold_time(base::instant now);

    worker_entry entry_;
    std::uint64_t incarnation_{};
    std::uint32_t in_flight_{0};
    // Load of other daemons at the time of the last report.
    double other_load_{0};
    base::instant reported_at_{};
    cold_time cold_time_{};
    double failure_share_{0};
    ejection_reason ejection_{ejection_reason::none};
    base::instant ejected_until_{};
    std::uint32_t consecutive_ejections_{0};
    // When contact was lost last, by a refusal or silence.
    base::instant lost_at_{};
    base::instant refused_alone_until_{};
    base::instant silent_alone_until_{};
    contact_proof latest_answer_{};
    base::instant end_told_at_{};
    // When it last answered a request of this daemon with success.
    base::instant succeeded_at_{};
    bool on_probation_{false};
    bool probe_in_flight_{false};
    worker_backoff backoff_{};
    oversized_answers oversized_{};
};

enum class entry_change : std::uint8_t
{
    none,
    added,
    restarted,
    changed,
};

class worker_table
{
public:
    using worker_ptr = std::shared_ptr<worker>;
    using zone_workers =
        std::map<std::string, std::vector<worker_ptr>, std::less<>>;

    // Leaving incarnations that are remembered.
    static constexpr std::size_t max_leaving = 4'096;

    entry_change put(worker_entry entry, base::instant now);
    // The incarnation of this worker said that it leaves. That holds until
    // another incarnation is put, also if its entry goes and comes back.
    void set_leaving(worker& one);
    // Returns false if no worker has this id.
    bool remove(const std::string& id);
    worker_ptr find(const std::string& id) const;
    // Returns the workers of a service by zone; empty for an unknown service.
    const zone_workers& of_service(std::string_view service) const;
    const std::map<std::string, worker_ptr>& all() const { return by_id_; }

private:
    void index(const worker_ptr& one);
    void unindex(const worker_ptr& one);

    std::map<std::string, worker_ptr> by_id_;
    // Digests of the incarnations that said they leave, newest last.
    // Invariant: at most max_leaving.
    std::deque<std::uint64_t> leaving_;
    std::map<std::string, zone_workers, std::less<>> by_service_;
};

} // namespace waxwingvalve::decision::steering
