// What a connection to a worker holds; a part of upstream_connection alone.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>

#include "front/upstream_connection.hpp"
#include "net/message_reader.hpp"

namespace waxwingvalve::front
{

// Keep-alive time assumed when the worker sends no Keep-Alive header.
inline constexpr std::chrono::seconds default_keep_alive{5};

struct upstream_connection::state
{
    state(
        boost::asio::io_context& context,
        base::endpoint address,
        std::shared_ptr<base::byte_budget> memory,
        std::uint64_t max_answer_bytes)
        : worker_address{std::move(address)}, socket{context}, timer{context},
          max_body_bytes{max_answer_bytes}, reader{std::move(memory)}
    {
    }

    base::endpoint worker_address;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::uint64_t max_body_bytes;
    std::uint64_t set_aside_bytes{0};
    // Target of the pending read.
    std::array<char, 8 * 1024> input{};
    net::answer_reader reader;
    upstream_request request;
    exchange_handler handler;
    idle_handler idle;
    bool connected{false};
    base::instant connected_at{};
    // This process did, while the connection was to open.
    bool stood_still{false};
    bool closed{false};
    bool sending{false};
    // Why the connection ended, if a write was told so.
    boost::beast::error_code write_failure{};
    // The end of the connection has completed the answer, unless the write that
    // is pending says that it was a reset.
    bool answer_ended{false};
    // The latest request was written, at least in part.
    bool request_sent{false};
    bool used_before{false};
    bool reused{false};
    bool answer_started{false};
    // An answer on this connection had an id.
    bool worker_sends_ids{false};
    // The worker may not have read all of a body that was sent.
    bool long_body_sent{false};
    // An answer to an earlier request arrived: the connection must not be
    // reused.
    bool stale_answer_seen{false};
    int stale_answers{0};
    int interim_answers{0};
    base::instant last_used{base::monotonic_clock::now()};
    base::duration keep_alive{default_keep_alive};

    void connect(const std::shared_ptr<upstream_connection>& self);
    void limit_connecting(const std::shared_ptr<upstream_connection>& self);
    contact_loss loss_of_connecting(
        const boost::beast::error_code& failure) const;
    void send(const std::shared_ptr<upstream_connection>& self);
    void set_acknowledgement_timeout(std::chrono::milliseconds time);
    void withdraw(const std::shared_ptr<upstream_connection>& self);
    void read(const std::shared_ptr<upstream_connection>& self);
    void parse(const std::shared_ptr<upstream_connection>& self);
    void set_aside(base::byte_hold memory);
    void begin_answer();
    void fail_answer(
        std::string_view detail,
        net::message_fault fault = net::message_fault::none);
    void handle_message(const std::shared_ptr<upstream_connection>& self);
    bool answers_another(const net::http_response& answer);
    void handle_interim(unsigned status);
    void handle_stale(bool keep_open);
    void finish_answer(
        const std::shared_ptr<upstream_connection>& self,
        net::received_message<false> received);
    void handle_read_error(
        const std::shared_ptr<upstream_connection>& self,
        const boost::beast::error_code& failure);
    void handle_end_of_input(const std::shared_ptr<upstream_connection>& self);
    void finish_ended_answer(const std::shared_ptr<upstream_connection>& self);
    void fail_exchange(const boost::beast::error_code& failure);
    void report(exchange_outcome outcome);
    void drop_request();
    void discard_unsent();
    void close();
};

} // namespace waxwingvalve::front
