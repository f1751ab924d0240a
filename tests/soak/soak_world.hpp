// What the fault soak runs: the real daemon as processes on loopback, and in
// this process the workers behind relays.
//
// Faults come from outside the daemons: signals, relays that delay, cut and
// silence, and a store that refuses, loses answers or loses writes. The
// promises are checked from what workers and callers see.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/process.hpp>

#include "base/time.hpp"
#include "stand_ins/link/relay.hpp"

namespace waxwingvalve::soak
{

using tcp = boost::asio::ip::tcp;

// The users' bounds: a daemon is bound once it and the store have been without
// disturbance for `contact_time`.
constexpr std::chrono::milliseconds contact_time{4'000};
constexpr std::chrono::milliseconds configuration_bound{2'500};
constexpr std::chrono::milliseconds rollback_slack{250};

constexpr std::string_view attempt_field = "X-Waxwingvalve-Attempt-Id";
constexpr std::string_view signature_field =
    "X-Waxwingvalve-Response-Signature";

// The value of a header field in the head of a message; empty without one.
std::string value_of(const std::string& head, std::string_view field);

// Runs `action` on the loop after `time`.
void later(
    boost::asio::io_context& loop,
    std::chrono::milliseconds time,
    std::function<void()> action);

// Everything that workers and callers saw of one attempt.
struct attempt_record
{
    bool idempotent{};
    int runs{0};
    // 0 when the connection ended without an answer.
    unsigned status{0};
    base::instant sent_at{};
};

struct ledger
{
    std::map<std::string, attempt_record> attempts{};
    std::vector<std::string> broken{};
    // Time of the last request that each worker began to run.
    std::map<std::string, base::instant> last_run{};
};

enum class worker_state : std::uint8_t
{
    ready,
    draining,
    ended,
};

// A worker that runs a request for some time and answers with its id. Its
// address is that of the relay before it.
class soak_worker
{
public:
    soak_worker(
        boost::asio::io_context& loop,
        std::string id,
        ledger& seen,
        std::uint64_t seed);

    const std::string& id() const { return id_; }
    stand_ins::relay& path() { return *relay_; }
    worker_state state() const { return state_; }
    // What the worker reports to the store.
    std::string entry() const;

    void drain() { state_ = worker_state::draining; }
    // Ends without a word: connections break and new ones are refused.
    void end();
    // Starts a new incarnation, under the same id or another one.
    void begin_again(std::string id);
    // Opens the path again after a cut, unless the worker has ended.
    void open_path();

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& from);
    void serve(const std::shared_ptr<connection>& to, const std::string& head);

    boost::asio::io_context& loop_;
    std::string id_;
    ledger& seen_;
    std::mt19937_64 random_;
    tcp::acceptor acceptor_;
    base::endpoint relay_address_{};
    worker_state state_{worker_state::ready};
    int born_{1};
    std::unique_ptr<stand_ins::relay> relay_;
};

// A daemon process; only ever signalled by its own id.
class soak_daemon
{
public:
    // `program` is the daemon of this build or of another one.
    soak_daemon(
        int number,
        const base::endpoint& store,
        std::filesystem::path folder,
        std::filesystem::path program);
    ~soak_daemon();

    void start();
    void send(int signal);
    bool running();
    // Whether the process has come to block the signals that it reads. Before
    // that, while it is loaded, SIGHUP ends any process.
    bool reads_signals();
    // How a process that nobody told to end has ended, if it has.
    std::optional<std::string> own_end();
    base::endpoint callers() const;
    int number() const { return number_; }
    // Counts the processes, so that two of them can be told apart.
    int starts() const { return starts_; }
    // Whether a kill, a stop, a pause or a start is long enough ago.
    bool calm(base::instant at) const
    {
        return at >= disturbed_at_ + contact_time;
    }

private:
    int number_;
    int starts_{0};
    // The process was sent a signal that ends it.
    bool told_to_end_{false};
    base::instant disturbed_at_{};
    std::filesystem::path folder_;
    std::filesystem::path program_;
    std::filesystem::path settings_;
    boost::process::child child_;
};

} // namespace waxwingvalve::soak
