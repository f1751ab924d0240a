// Checks at every daemon that acknowledged configurations are in force, by
// requests on routes that only they have, as the users' bench does.
//
// A request on the route of configuration N that is sent 2.5 s after the
// store's acknowledgement gets no 404, if store and daemon have been without
// disturbance for `contact_time`. One process that has shown N never answers
// 404 on that route again, whatever happens to the store.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "soak/soak_client.hpp"
#include "soak/soak_daemon.hpp"
#include "soak/soak_store.hpp"

namespace waxwingvalve::soak
{

class configuration_check
{
public:
    configuration_check(
        boost::asio::io_context& loop,
        const std::vector<std::unique_ptr<soak_daemon>>& daemons,
        const soak_store& store,
        ledger& seen);

    // Watches the daemons that there are by now.
    void start();
    // Ends the requests; a daemon of which none could be judged is a fault of
    // the check and counts as broken.
    void finish();
    // Requests that were sent when the bound held.
    int judged() const;

private:
    struct watched_daemon
    {
        watched_daemon(boost::asio::io_context& loop, const soak_daemon& of)
            : daemon{of}, connection{loop, "127.0.0.1"}, timer{loop}
        {
        }

        const soak_daemon& daemon;
        client_connection connection;
        boost::asio::steady_timer timer;
        // The process, and the newest configuration that it has shown.
        int process{0};
        int shown{0};
        base::instant shown_at{};
        int judged{0};
    };

    struct probe
    {
        int configuration{};
        int process{};
        base::instant sent_at{};
    };

    boost::asio::awaitable<void> watch(watched_daemon& of);
    boost::asio::awaitable<void> ask(watched_daemon& of, int configuration);
    void judge(watched_daemon& of, const probe& sent, unsigned status);
    void judge_missing(const watched_daemon& of, const probe& sent, bool bound);
    void report(std::string what);

    boost::asio::io_context& loop_;
    const std::vector<std::unique_ptr<soak_daemon>>& daemons_;
    const soak_store& store_;
    ledger& seen_;
    std::vector<std::unique_ptr<watched_daemon>> watched_;
    std::set<std::string> reported_;
    int asked_{0};
    bool finished_{false};
};

} // namespace waxwingvalve::soak
