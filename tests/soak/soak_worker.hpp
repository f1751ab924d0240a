// The soak's workers, in its own process behind relays.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/endpoint.hpp"
#include "soak/soak_ledger.hpp"
#include "stand_ins/endless_answer.hpp"
#include "stand_ins/link/relay.hpp"

namespace waxwingvalve::soak
{

using tcp = boost::asio::ip::tcp;

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
        int number,
        std::string id,
        ledger& seen,
        std::uint64_t seed);

    const std::string& id() const { return id_; }
    stand_ins::relay& path() { return *relay_; }
    worker_state state() const { return state_; }
    // What the worker reports to the store.
    std::string entry() const;

    void drain() { state_ = worker_state::draining; }
    // Until `end` some of its answers have no end.
    void spoil(stand_ins::endless_answer kind, base::instant end);
    // Ends without a word: connections break and new ones are refused.
    void end();
    // Starts a new incarnation, under the same id or another one.
    void begin_again(std::string id);
    // Opens the path again after a cut, unless the worker has ended.
    void open_path();

private:
    struct connection;

    bool spoils_now();
    // Sends until the other side closes the connection.
    boost::asio::awaitable<void> send_without_end(
        std::shared_ptr<connection> to, std::string id);
    void accept();
    void read(const std::shared_ptr<connection>& from);
    void serve(const std::shared_ptr<connection>& to, const std::string& head);

    boost::asio::io_context& loop_;
    int number_;
    std::string id_;
    ledger& seen_;
    std::mt19937_64 random_;
    tcp::acceptor acceptor_;
    stand_ins::endless_answer spoiled_with_{};
    base::instant spoiled_until_{};
    base::endpoint relay_address_{};
    worker_state state_{worker_state::ready};
    int born_{1};
    std::unique_ptr<stand_ins::relay> relay_;
};

} // namespace waxwingvalve::soak
