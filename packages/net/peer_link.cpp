#include "net/peer_link.hpp"

#include <boost/asio/post.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <unistd.h>

#include "schema/messages.hpp"

namespace waxwingvalve::net
{
namespace
{

constexpr int receive_queue_messages = 128;
// Few, so that what is sent after a reconnect is not old.
constexpr int send_queue_messages = 4;
constexpr nng_duration reconnect_least_ms = 100;
constexpr nng_duration reconnect_most_ms = 1000;
// Messages read before other work of the thread gets its turn.
constexpr int messages_a_turn = 64;

std::string to_url(const base::endpoint& where)
{
    return "tcp://" + base::to_string(where);
}

} // namespace

// Carries the end of a connection from a thread of nng to the io_context.
struct peer_link::lost_notice
{
    boost::asio::io_context& context;
    std::weak_ptr<lost_function> receive;
    base::endpoint peer;

    static void post(nng_pipe /*pipe*/, nng_pipe_ev /*event*/, void* argument)
    {
        const auto& self = *static_cast<lost_notice*>(argument);
        boost::asio::post(
            self.context,
            [receive = self.receive, peer = self.peer]
            {
                if (const auto alive = receive.lock())
                {
                    (*alive)(peer);
                }
            });
    }
};

class peer_link::sender
{
public:
    sender(const base::endpoint& to, lost_notice& notice)
    {
        if (nng_push0_open(&socket_) != 0)
        {
            return;
        }
        nng_pipe_notify(
            socket_, NNG_PIPE_EV_REM_POST, &lost_notice::post, &notice);
        nng_socket_set_int(socket_, NNG_OPT_SENDBUF, send_queue_messages);
        nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, reconnect_least_ms);
        nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, reconnect_most_ms);
        nng_dial(socket_, to_url(to).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ~sender() { nng_close(socket_); }
    sender(const sender&) = delete;
    sender& operator=(const sender&) = delete;

    bool send(std::span<const std::uint8_t> bytes)
    {
        used_at_ = base::monotonic_clock::now();
        // nng copies the bytes; its signature just lacks the const.
        std::string copy{bytes.begin(), bytes.end()};
        return nng_send(socket_, copy.data(), copy.size(), NNG_FLAG_NONBLOCK) ==
               0;
    }

    base::instant used_at() const { return used_at_; }

private:
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    base::instant used_at_{};
};

peer_link::peer_link(
    boost::asio::io_context& context,
    receive_function receive,
    lost_function lost)
    : readable_{context}, receive_{std::move(receive)}, context_{context},
      lost_{std::make_shared<lost_function>(std::move(lost))}
{
}

peer_link::~peer_link()
{
    boost::system::error_code ignored;
    readable_.close(ignored);
    senders_.clear();
    if (listener_ != 0)
    {
        nng_close(nng_socket{listener_});
    }
}

base::result<void> peer_link::listen(const base::endpoint& where)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_pull0_open(&socket) != 0)
    {
        return base::fail(base::result_code::link_failed, to_string(where));
    }
    listener_ = socket.id;
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, receive_queue_messages);
    nng_socket_set_size(
        socket, NNG_OPT_RECVMAXSZ, schema::largest_message_bytes);
    if (nng_listen(socket, to_url(where).c_str(), nullptr, 0) != 0)
    {
        return base::fail(base::result_code::address_in_use, to_string(where));
    }
    int descriptor = -1;
    if (nng_socket_get_int(socket, NNG_OPT_RECVFD, &descriptor) != 0)
    {
        return base::fail(base::result_code::link_failed, to_string(where));
    }
    // nng owns its descriptor and Asio the copy.
    readable_.assign(::dup(descriptor));
    wait_for_messages();
    return base::success();
}

void peer_link::wait_for_messages()
{
    readable_.async_wait(
        boost::asio::posix::descriptor_base::wait_read,
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                receive_waiting();
                wait_for_messages();
            }
        });
}

void peer_link::receive_waiting()
{
    for (int taken = 0; taken < messages_a_turn; ++taken)
    {
        nng_msg* message = nullptr;
        if (nng_recvmsg(nng_socket{listener_}, &message, NNG_FLAG_NONBLOCK) !=
            0)
        {
            return;
        }
        const auto* bytes =
            static_cast<const std::uint8_t*>(nng_msg_body(message));
        receive_({bytes, nng_msg_len(message)});
        nng_msg_free(message);
    }
}

bool peer_link::send(
    const base::endpoint& to, std::span<const std::uint8_t> bytes)
{
    auto& one = senders_[to];
    if (!one)
    {
        auto& notice = notices_[to];
        if (!notice)
        {
            notice =
                std::make_unique<lost_notice>(lost_notice{context_, lost_, to});
        }
        one = std::make_unique<sender>(to, *notice);
    }
    return one->send(bytes);
}

void peer_link::reset(const base::endpoint& to)
{
    senders_.erase(to);
}

void peer_link::close_unused(base::instant before)
{
    std::erase_if(
        senders_,
        [&](const auto& item) { return item.second->used_at() < before; });
}

} // namespace waxwingvalve::net
