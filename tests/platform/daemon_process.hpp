// The daemon of this build as a process on loopback addresses of its own, with
// the fake store in the test's process. It is only ever signalled by its id.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>

#include "base/endpoint.hpp"
#include "platform/fake_store.hpp"

namespace waxwingvalve::tests
{

// What each of a daemon's addresses is for.
enum class daemon_port : std::uint16_t
{
    callers = 18'161,
    readiness,
    lookups,
    control,
    // UDP.
    peers,
};

class daemon_process
{
public:
    // `number` is the daemon's in its test, up to 200. Each process of tests
    // has loopback addresses of its own.
    // The daemon's seed is the one with the number before.
    daemon_process(
        boost::asio::io_context& loop, fake_store& store, int number);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    base::endpoint address(daemon_port of) const;
    // Settings as the deploy file gives them; `address` replaces that of the
    // daemon.
    void write_settings(const std::string& address) const;
    std::filesystem::path settings_path() const;
    // Another build of the daemon is started from now on.
    void set_program(std::filesystem::path program);
    int id() const { return child_.id(); }
    // Settings say from now on that the process may use this.
    void set_memory_mb(int mb);
    // The kernel gives processes started from now on no more address space.
    // In builds with sanitizers, which need far more of it, the settings say
    // so.
    void limit_memory(std::uint64_t bytes);
    void start();
    void send(int signal);
    bool running();
    // The exit status, or 128 and the signal's number; nothing while it runs.
    std::optional<int> end_status();
    // Memory that the process uses now; 0 if it has ended.
    std::uint64_t resident_bytes() const;
    // What the daemon has written to its log so far.
    std::string log() const;

    bool ready();
    // The body of the answer to a look-up; empty without one.
    std::string lookup();
    // Runs the loop until `condition` holds; returns false after `time`.
    bool wait_until(
        std::chrono::milliseconds time, const std::function<bool()>& condition);
    void run_for(std::chrono::milliseconds time);

private:
    std::string get(daemon_port port, const std::string& target);

    boost::asio::io_context& loop_;
    fake_store& store_;
    int number_;
    std::string host_;
    std::filesystem::path folder_;
    std::filesystem::path program_{WAXWINGVALVE_PLATFORM_DAEMON};
    // Not in the settings if it is 0.
    int memory_mb_{0};
    std::optional<std::uint64_t> memory_limit_;
    boost::process::child child_;
};

} // namespace waxwingvalve::tests
