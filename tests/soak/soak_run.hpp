// One run of the fault soak.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/time.hpp"
#include "soak/configuration_check.hpp"
#include "soak/soak_client.hpp"
#include "soak/soak_daemon.hpp"
#include "soak/soak_store.hpp"
#include "soak/soak_worker.hpp"

namespace waxwingvalve::soak
{

// A worker that leaves gets no new requests later than this.
constexpr std::chrono::milliseconds drain_bound{2'500};

// One seed: a series of faults that overlap, and what must hold meanwhile and
// after it.
class soak_run
{
public:
    // `other_daemon` is the program of every second daemon.
    soak_run(
        std::uint64_t seed,
        std::filesystem::path folder,
        std::filesystem::path other_daemon);

    // The promises that were broken.
    std::vector<std::string> play(std::chrono::seconds length);

private:
    void build();
    void run_for(base::duration time);
    void inject();
    void end_faults();
    void end_daemon(soak_daemon& one, int signal);
    void start_when_gone(
        soak_daemon& one, int process, std::chrono::milliseconds time);
    void pause_daemon(soak_daemon& one);
    void flood_daemon(const soak_daemon& one);
    void spoil_answers(soak_worker& of);
    void start_uploads();
    void disturb_path(soak_worker& of);
    void disturb_worker(soak_worker& one);
    void end_worker(soak_worker& one);
    void restart_worker(soak_worker& one, bool same_id);
    void check_refusals();
    void check_answers();
    void check_recovery();
    void check_drain();
    void check_processes();
    // Checks again and again that no daemon is over its memory.
    void watch_memory();
    int draw(int least, int most)
    {
        return std::uniform_int_distribution<int>{least, most}(random_);
    }

    std::chrono::milliseconds draw_time(int least_ms, int most_ms)
    {
        return std::chrono::milliseconds{draw(least_ms, most_ms)};
    }

    std::mt19937_64 random_;
    int daemon_count_;
    std::filesystem::path folder_;
    std::filesystem::path other_daemon_;
    boost::asio::io_context loop_;
    ledger seen_;
    soak_store store_;
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::vector<std::unique_ptr<soak_daemon>> daemons_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    configuration_check configurations_{loop_, daemons_, store_, seen_};
    bool faults_over_{false};
    // Most memory that a daemon was seen to use.
    std::uint64_t peak_bytes_{0};
};

} // namespace waxwingvalve::soak
