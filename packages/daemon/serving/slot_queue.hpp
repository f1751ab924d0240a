// The slots of the own workers and the requests that wait for one.
//
// Joins the pure admission to timers. A slot that comes free goes to the
// waiting request of the highest priority. Touched by the serving thread
// alone; shared, because connections in progress give their slot back to it
// when they end.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "decision/limits/admission.hpp"
#include "decision/limits/wait_queue.hpp"

namespace waxwingvalve::daemon::serving
{

class slot_queue : public std::enable_shared_from_this<slot_queue>
{
public:
    explicit slot_queue(boost::asio::any_io_executor executor);

    decision::limits::admission& admission() { return admission_; }
    const decision::limits::admission& admission() const { return admission_; }

    // A slot at once, or nothing. Nobody overtakes a waiting request of the
    // same or a higher priority.
    std::optional<base::endpoint> take(
        std::string_view service,
        schema::priority priority,
        std::span<const base::endpoint> avoid);

    // Waits for a slot. Errors: overloaded, queue_timeout.
    boost::asio::awaitable<base::result<base::endpoint>> wait(
        std::string service, schema::priority priority, base::instant deadline);

    void release(const base::endpoint& worker);
    // Grants what the waiting requests can get by now.
    void pump();
    // Nothing is granted any more.
    void close() { closed_ = true; }

private:
    struct waiter
    {
        boost::asio::steady_timer wake;
        std::optional<base::endpoint> granted{};
    };
    using queue = decision::limits::wait_queue<std::shared_ptr<waiter>>;

    // Leaves the queue, or gives back what it was granted in vain.
    class place_in_queue;

    void pump(const std::string& service, queue& waiting);

    boost::asio::any_io_executor executor_;
    decision::limits::admission admission_;
    std::map<std::string, queue, std::less<>> queues_;
    bool closed_{false};
};

} // namespace waxwingvalve::daemon::serving
