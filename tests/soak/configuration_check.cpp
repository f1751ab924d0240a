#include "soak/configuration_check.hpp"

#include "soak/soak_accounts.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace waxwingvalve::soak
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

} // namespace

configuration_check::configuration_check(
    asio::io_context& loop,
    const std::vector<std::unique_ptr<soak_daemon>>& daemons,
    const soak_store& store,
    ledger& seen)
    : loop_{loop}, daemons_{daemons}, store_{store}, seen_{seen}
{
}

void configuration_check::start()
{
    for (const auto& one : daemons_)
    {
        watched_.push_back(std::make_unique<watched_daemon>(loop_, *one));
        asio::co_spawn(loop_, watch(*watched_.back()), asio::detached);
    }
}

asio::awaitable<void> configuration_check::watch(watched_daemon& of)
{
    while (!finished_)
    {
        const auto newest = store_.newest_acknowledged();
        if (newest > of.shown)
        {
            co_await ask(of, newest);
        }
        // The newest one alone would hide that an older one is missing.
        const auto now = base::monotonic_clock::now();
        const auto known = std::max(of.shown, store_.due_configuration(now));
        if (known > 0)
        {
            co_await ask(of, known);
        }
        of.timer.expires_after(50ms);
        co_await of.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> configuration_check::ask(
    watched_daemon& of, int configuration)
{
    const probe sent{
        configuration, of.daemon.starts(), base::monotonic_clock::now()};
    const auto id = fmt::format("probe-{}", ++asked_);
    auto& record = seen_.attempts[id];
    record = {
        .idempotent = true,
        .daemon = of.daemon.number(),
        .sent_at = sent.sent_at};
    // A path of its own, or a worker's end would make it a crashing request.
    auto request = fmt::format(
        "GET /c{}/{} HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n{}"
        "X-Waxwingvalve-Request-Deadline: 2000\r\n\r\n",
        configuration,
        id,
        attempt_field,
        id,
        key_field(accounts.front()));
    const auto answer =
        co_await of.connection.ask(of.daemon.callers(), std::move(request));
    if (!answer)
    {
        record.ended_at = base::monotonic_clock::now();
    }
    if (answer && of.daemon.starts() == sent.process)
    {
        judge(of, sent, answer->status);
    }
}

void configuration_check::judge(
    watched_daemon& of, const probe& sent, unsigned status)
{
    if (of.process != sent.process)
    {
        of.process = sent.process;
        of.shown = 0;
    }
    const bool bound =
        store_.calm(sent.sent_at) && of.daemon.calm(sent.sent_at) &&
        sent.configuration <= store_.due_configuration(sent.sent_at);
    const bool tells = status == status_ok || status == status_not_found;
    of.judged += bound && tells ? 1 : 0;
    if (status == status_not_found)
    {
        judge_missing(of, sent, bound);
    }
    if (status == status_ok && sent.configuration > of.shown)
    {
        of.shown = sent.configuration;
        of.shown_at = base::monotonic_clock::now();
    }
}

void configuration_check::judge_missing(
    const watched_daemon& of, const probe& sent, bool bound)
{
    const bool older_again = sent.configuration <= of.shown &&
                             sent.sent_at > of.shown_at + rollback_slack;
    if (older_again)
    {
        report(fmt::format(
            "entry-{} is older than configuration {} again",
            of.daemon.number(),
            sent.configuration));
    }
    else if (bound)
    {
        report(fmt::format(
            "configuration {} is not in force at entry-{}",
            sent.configuration,
            of.daemon.number()));
    }
}

void configuration_check::report(std::string what)
{
    if (reported_.insert(what).second)
    {
        seen_.broken.push_back(std::move(what));
    }
}

void configuration_check::finish()
{
    finished_ = true;
    for (const auto& one : watched_)
    {
        if (one->judged == 0)
        {
            report(fmt::format(
                "no configuration was judged at entry-{}",
                one->daemon.number()));
        }
    }
}

int configuration_check::judged() const
{
    int sum = 0;
    for (const auto& one : watched_)
    {
        sum += one->judged;
    }
    return sum;
}

} // namespace waxwingvalve::soak
