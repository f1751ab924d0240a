// The workers that discovery names, and what this daemon has seen of each.
//
// An entry comes from discovery; load, health and pace come from the answers
// of the worker itself. An entry of a new incarnation starts afresh.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

// What discovery says of one worker.
struct worker_entry
{
    std::string id{};
    std::string service{};
    base::endpoint address{};
    std::string zone{};
    std::string version{};
    std::uint32_t slots{1};
    // Leaving workers take no new requests.
    bool draining{};
    // How much longer the worker is cold, at the time of the report.
    std::chrono::milliseconds cold_for{};
    // Start of this incarnation, in Unix milliseconds; 0 when not told.
    std::int64_t started_at_ms{};
    // Number of the report; starts anew with each incarnation.
    std::uint64_t report_number{};
};

// Requests that a worker said it was running and queueing.
struct load_report
{
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
};

// Why a worker gets no requests at the moment.
enum class worker_doubt : std::uint8_t
{
    none,
    // Its address refused or did not answer a connection.
    unreachable,
    // Its answers are failures far more often than those of its peers.
    failing,
};

class worker
{
public:
    // A doubted worker is tried again after this, doubled with each further
    // doubt in a row.
    static constexpr base::duration first_pause{std::chrono::seconds{1}};
    static constexpr base::duration longest_pause{std::chrono::seconds{8}};
    // Weight of the newest answer in the share of failures.
    static constexpr double failure_weight = 0.15;
    // From this share of failures on a worker is doubted, if it is also this
    // many times that of all workers of the service: where all fail alike,
    // pauses would only take workers away.
    static constexpr double failing_share = 0.5;
    static constexpr double failing_beyond_peers = 1.6;
    // Requests of other daemons are taken to fall to 1/e within this time of
    // the last report. Slowly, because every daemon that forgets a full
    // worker sends to it at the same time.
    static constexpr std::chrono::duration<double> report_decay{
        std::chrono::milliseconds{4'000}};

    explicit worker(worker_entry entry, base::instant now);

    const worker_entry& entry() const { return entry_; }

    // Takes a newer entry of the same id. A new incarnation or a new address
    // drops what was seen of the old one.
    void update(worker_entry entry, base::instant now);

    void request_sent() { ++in_flight_; }
    void request_ended() { --in_flight_; }
    std::uint32_t in_flight() const { return in_flight_; }

    void report(const load_report& load, base::instant now);
    void set_cold_for(std::chrono::milliseconds left, base::instant now);
    // `peers_failing` is the share of failures of all workers of the service.
    void answered(bool failed, double peers_failing, base::instant now);
    // A request had no answer within its time. Speaks against the worker only
    // when it had slots free: in a queue requests time out at sound workers,
    // and taking those out would move their load to others.
    void timed_out(double peers_failing, base::instant now);
    void doubt(worker_doubt reason, base::instant now);

    // Own requests and, as far as a report is new, those of other daemons.
    double load(base::instant now) const;
    std::uint32_t slots() const { return entry_.slots; }
    bool cold(base::instant now) const { return now < cold_until_; }
    worker_doubt doubted(base::instant now) const;
    // The first request after a doubt; others wait for its outcome.
    bool on_trial() const { return on_trial_; }
    void begin_trial() { trial_runs_ = true; }
    bool trial_runs() const { return trial_runs_; }
    double failure_share() const { return failure_share_; }

private:
    void start_afresh(base::instant now);

    worker_entry entry_;
    std::uint32_t in_flight_{0};
    // Requests of other daemons at the time of the last report.
    double others_{0};
    base::instant reported_at_{};
    base::instant cold_until_{};
    double failure_share_{0};
    worker_doubt doubt_{worker_doubt::none};
    base::instant doubted_until_{};
    std::uint32_t doubts_in_a_row_{0};
    bool on_trial_{false};
    bool trial_runs_{false};
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

    entry_change put(worker_entry entry, base::instant now);
    // False when no worker of this id was known.
    bool remove(const std::string& id);
    worker_ptr find(const std::string& id) const;
    // The workers of one service by their zone; empty for an unknown one.
    const zone_workers& of_service(std::string_view service) const;
    const std::map<std::string, worker_ptr>& all() const { return by_id_; }

private:
    void index(const worker_ptr& one);
    void unindex(const worker_ptr& one);

    std::map<std::string, worker_ptr> by_id_;
    std::map<std::string, zone_workers, std::less<>> by_service_;
};

} // namespace waxwingvalve::decision::steering
