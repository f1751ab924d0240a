// Tells in the log when the process comes near what it may use.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/time.hpp"
#include "front/body_memory.hpp"

namespace waxwingvalve::front
{

class memory_watch
{
public:
    // `memory` has to outlive it.
    memory_watch(boost::asio::io_context& loop, const body_memory& memory)
        : memory_{memory}, timer_{loop}
    {
    }

    // Looks at the resident memory now, and every second from then on.
    void start();

private:
    void check();
    void tell(std::uint64_t resident);

    const body_memory& memory_;
    boost::asio::steady_timer timer_;
    base::instant told_at_{};
};

} // namespace waxwingvalve::front
