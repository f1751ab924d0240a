// A front server with narrow bounds for one answer, worker and caller, and
// callers from loopback addresses of their own.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/write.hpp>

#include "front/front_fixture.hpp"

namespace waxwingvalve::tests
{

constexpr std::uint64_t answer_bytes = 40 * 1024;
constexpr std::uint64_t worker_bytes = 96 * 1024;
constexpr std::uint64_t caller_bytes = 64 * 1024;

inline front::memory_options narrow_memory()
{
    return {
        .body_bytes = front_fixture::body_memory_bytes,
        .answer_bytes = answer_bytes,
        .worker_bytes = worker_bytes,
        .caller_bytes = caller_bytes};
}

inline bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

inline scripted_reply reply_success(int)
{
    return {.answer = success_answer("whole")};
}

// A connection from a loopback address of its own, which stays open.
class open_caller
{
public:
    open_caller(
        front_fixture& front, std::string_view host, std::string_view bytes)
        : front_{front}, socket_{front.loop}
    {
        socket_.open(tcp::v4());
        socket_.bind({boost::asio::ip::make_address(std::string{host}), 0});
        socket_.connect(
            {boost::asio::ip::make_address(front.address.address),
             front.address.port});
        boost::asio::write(socket_, boost::asio::buffer(bytes));
        front_.run_for(std::chrono::milliseconds{50});
    }

    // What has come so far.
    std::string received()
    {
        std::string text(socket_.available(), '\0');
        text.resize(
            text.empty() ? 0 : socket_.read_some(boost::asio::buffer(text)));
        return text;
    }

private:
    front_fixture& front_;
    tcp::socket socket_;
};

} // namespace waxwingvalve::tests
