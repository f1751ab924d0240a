// Runs a front server on loopback, with workers that send scripted replies and
// callers that send given bytes. Everything runs on one event loop in the test
// thread.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "front/fleet_view.hpp"
#include "front/front_server.hpp"
#include "front/request_flow.hpp"
#include "front/upstream_pool.hpp"

namespace waxwingvalve::tests
{

using tcp = boost::asio::ip::tcp;

// How a scripted worker replies to one request.
struct scripted_reply
{
    // Bytes to send; "{id}" is replaced by the attempt id of the request.
    std::string answer{};
    // Close the connection after the answer.
    bool close{};
    // Reset the connection after the answer.
    bool reset{};
    // Reset the connection and stop listening, as a crashed worker does.
    bool crash{};
    std::chrono::milliseconds delay{};
};

// Requests a second that a cold worker of the service "desk" tolerates.
constexpr double test_cold_rate = 7.2;

// The settings under which fixtures run a serving path: names of fields, two
// routes of the service "desk", and loose limits.
front::header_names test_fields();
decision::steering::configuration test_configuration();
front::fleet_options test_options();

// A signed 200 answer that echoes the attempt id of the request.
std::string success_answer(std::string_view body);

// A worker on loopback that sends scripted replies.
class scripted_worker
{
public:
    using reply_function = std::function<scripted_reply(int request_number)>;

    scripted_worker(
        boost::asio::io_context& loop,
        std::string id,
        reply_function next_reply);

    const base::endpoint& address() const { return address_; }
    const std::string& id() const { return id_; }

    // Ends as a process does that is killed: its connections are reset and its
    // address refuses new ones.
    void end();
    // Listens at the same address again, without its earlier connections.
    void start_again();
    // Answers nothing more, as a process whose VM has lost its power: nor do
    // new connections open. `end` resets the earlier ones.
    void fall_silent();

    // Heads of the received requests, in order.
    const std::vector<std::string>& requests() const { return requests_; }
    // Number of connections that the daemon closed while a request was running.
    int interrupted_requests() const { return interrupted_requests_; }

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& client);
    void answer(const std::shared_ptr<connection>& client);
    void end_connection(
        const std::shared_ptr<connection>& client, const scripted_reply& reply);

    boost::asio::io_context& loop_;
    std::string id_;
    reply_function next_reply_;
    tcp::acceptor acceptor_;
    base::endpoint address_;
    bool silent_{false};
    // Takes the only place in the queue of a silent worker's listener.
    tcp::socket queue_filler_;
    // Accepted since the start.
    std::vector<std::weak_ptr<connection>> connections_;
    std::vector<std::string> requests_;
    int interrupted_requests_{0};
};

// A front server with its fleet view and scripted workers.
class front_fixture
{
public:
    static constexpr std::uint64_t body_memory_bytes = 256 * 1024;
    // One answer, worker or caller may take all.
    static front::memory_options loose_memory()
    {
        return {
            .body_bytes = body_memory_bytes,
            .answer_bytes = body_memory_bytes,
            .worker_bytes = body_memory_bytes,
            .caller_bytes = 256 * body_memory_bytes};
    }

    explicit front_fixture(
        const front::memory_options& options = loose_memory());
    ~front_fixture();

    // Adds a worker of the service "desk" and registers it with the daemon.
    scripted_worker& add_worker(
        const std::string& id,
        scripted_worker::reply_function next_reply,
        const std::string& zone = "addis-a");

    // Heads of the requests that all workers received.
    std::vector<std::string> received_heads() const;

    // Puts a configuration in force that differs from the one before only in
    // its version and in the home regions of the idempotent route.
    void move_home(const std::string& region);

    // Sends `bytes` on a new connection and returns what is read until the
    // daemon closes it or `time` has passed.
    std::string exchange(
        std::string_view bytes, std::chrono::milliseconds time);

    // Sends `bytes`, waits and closes the connection without reading.
    void send_and_disconnect(
        std::string_view bytes, std::chrono::milliseconds wait);

    void run_for(std::chrono::milliseconds time);

    // Before the event loop, whose handlers hold parts of it until its end.
    front::body_memory memory;
    boost::asio::io_context loop;
    front::fleet_view view;
    front::upstream_pool pool{loop, memory};
    front::request_metrics counts;
    front::serving_context serving;
    std::unique_ptr<front::front_server> server;
    base::endpoint address{};

private:
    std::vector<std::unique_ptr<scripted_worker>> workers_;
};

// A GET request to an idempotent route. `extra` holds additional header lines,
// each ending in CRLF.
std::string idempotent_request(
    std::string_view id, std::string_view extra = {});
// A POST request with a body to a route that is not idempotent.
std::string non_idempotent_request(
    std::string_view id, std::string_view extra = {});

} // namespace waxwingvalve::tests
