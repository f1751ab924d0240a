// The soak's clients: connections to the daemons and the callers that use them.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "soak/soak_accounts.hpp"
#include "soak/soak_daemon.hpp"

namespace waxwingvalve::soak
{

using tcp = boost::asio::ip::tcp;

struct client_answer
{
    unsigned status{};
    std::string head{};
    std::string body{};
    // Whether bytes that belong to no request followed it.
    bool surplus{};
};

// A connection that stays open from answer to answer, until the daemon closes
// it or does not answer in time.
class client_connection
{
public:
    // `host` is the IP number that it connects from.
    client_connection(boost::asio::io_context& loop, std::string host);

    // Asks on the open connection, or on a new one to `where`. Returns nothing
    // if the connection ended without a whole answer.
    boost::asio::awaitable<std::optional<client_answer>> ask(
        base::endpoint where, std::string request);
    bool is_open() const { return socket_.is_open(); }
    void close();

private:
    boost::asio::awaitable<std::optional<client_answer>> exchange(
        base::endpoint where, std::string request);

    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string host_;
    std::string bytes_{};
};

// One caller. It stays with one process until that is gone, or it opens a
// connection for every request.
class soak_caller
{
public:
    soak_caller(
        boost::asio::io_context& loop,
        int number,
        const std::vector<std::unique_ptr<soak_daemon>>& daemons,
        ledger& seen,
        std::uint64_t seed);

    void start();
    // Until `end` some of its requests have large bodies.
    void upload(base::instant end) { uploads_until_ = end; }
    void stop() { stopped_ = true; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> ask_once();
    std::size_t draw_body_bytes();
    void note_answer(const std::string& id, const client_answer& answer);

    boost::asio::io_context& loop_;
    const std::vector<std::unique_ptr<soak_daemon>>& daemons_;
    ledger& seen_;
    std::mt19937_64 random_;
    const soak_account& account_;
    bool keeps_connection_;
    client_connection connection_;
    // The daemon that the connection leads to.
    std::size_t daemon_{0};
    base::instant uploads_until_{};
    boost::asio::steady_timer timer_;
    bool stopped_{false};
};

} // namespace waxwingvalve::soak
