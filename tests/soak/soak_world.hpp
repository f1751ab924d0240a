// What the fault soak runs: the real daemon as processes on loopback, and in
// this process the store, the workers behind relays, and the callers.
//
// Faults come from outside the daemons: signals, relays that delay, cut and
// silence, and a store that refuses or loses answers. The promises are checked
// from what workers and callers see.
#pragma once

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/process.hpp>

#include "base/time.hpp"
#include "platform/fake_store.hpp"
#include "stand_ins/link/relay.hpp"

namespace waxwingvalve::soak
{

using tcp = boost::asio::ip::tcp;

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
    base::endpoint address() const { return relay_address_; }
    stand_ins::relay& path() { return *relay_; }

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
    base::endpoint callers() const;

private:
    int number_;
    std::filesystem::path folder_;
    std::filesystem::path program_;
    std::filesystem::path settings_;
    boost::process::child child_;
};

// One caller after another request on a connection of its own.
class soak_caller : public std::enable_shared_from_this<soak_caller>
{
public:
    soak_caller(
        boost::asio::io_context& loop,
        const std::vector<std::unique_ptr<soak_daemon>>& daemons,
        ledger& seen,
        std::uint64_t seed);

    void start();
    void stop() { stopped_ = true; }

private:
    void send();
    void note_answer();
    void pause();

    boost::asio::io_context& loop_;
    const std::vector<std::unique_ptr<soak_daemon>>& daemons_;
    ledger& seen_;
    std::mt19937_64 random_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string id_{};
    std::string request_{};
    std::string answer_{};
    bool stopped_{false};
};

} // namespace waxwingvalve::soak
