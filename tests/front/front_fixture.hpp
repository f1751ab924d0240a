// A daemon's serving path on loopback, with workers and callers that send
// fixed bytes. All run on one event loop in the test's thread.
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

// What a scripted worker does with one request.
struct script_step
{
    // Sent as it is; "{id}" becomes the attempt id of the request.
    std::string answer{};
    // The connection ends behind the answer.
    bool close{};
    // It ends with a reset.
    bool reset{};
    // The worker closes its address too, as one that crashed.
    bool crash{};
    std::chrono::milliseconds delay{};
};

// An answer of a sound worker, with the attempt id of the request.
std::string good_answer(std::string_view body);

class scripted_worker
{
public:
    using script = std::function<script_step(int request_number)>;

    scripted_worker(
        boost::asio::io_context& loop, std::string id, script steps);

    base::endpoint address() const;
    const std::string& id() const { return id_; }
    // Heads of the requests that came, in order.
    const std::vector<std::string>& requests() const { return requests_; }
    // Connections that ended while a request on them was under way.
    int cut_short() const { return cut_short_; }

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& from);
    void answer(const std::shared_ptr<connection>& to);
    void end(const std::shared_ptr<connection>& one, const script_step& step);

    boost::asio::io_context& loop_;
    std::string id_;
    script steps_;
    tcp::acceptor acceptor_;
    std::vector<std::string> requests_;
    int cut_short_{0};
};

class front_fixture
{
public:
    front_fixture();
    ~front_fixture();

    // A worker of the service "desk" that the daemon knows.
    scripted_worker& add_worker(
        const std::string& id, scripted_worker::script steps);

    // Sends `bytes` on a new connection and reads until the daemon closes it
    // or `time` has passed.
    std::string exchange(
        std::string_view bytes, std::chrono::milliseconds time);

    // Sends `bytes`, waits and closes without reading.
    void send_and_leave(std::string_view bytes, std::chrono::milliseconds wait);

    void run_for(std::chrono::milliseconds time);

    boost::asio::io_context loop;
    front::fleet_view view;
    front::upstream_pool pool{loop};
    front::request_metrics counts;
    front::serving_context serving;
    std::unique_ptr<front::front_server> server;
    base::endpoint address{};

private:
    std::vector<std::unique_ptr<scripted_worker>> workers_;
};

// "GET /safe/1 HTTP/1.1" with what a caller sends besides; `extra` are whole
// lines.
std::string lookup(std::string_view id, std::string_view extra = {});
// A request that must not be repeated, with a body.
std::string filing(std::string_view id, std::string_view extra = {});

} // namespace waxwingvalve::tests
