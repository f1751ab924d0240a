#include "daemon/records_duty.hpp"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.hpp"
#include "decision/records/layout.hpp"

namespace waxwingvalve::daemon
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;
using decision::records::revision;

namespace
{

constexpr std::chrono::milliseconds poll_period{500};
constexpr std::chrono::milliseconds platform_timeout{1000};

revision to_revision(const std::string& text)
{
    revision out{};
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

records_duty::records_duty(
    const schema::daemon_settings& settings,
    figures& counts,
    std::function<bool(configuration_pointer)> deliver)
    : context_{1}, counts_{counts}, deliver_{std::move(deliver)},
      table_{settings.platform.table, platform_timeout}
{
}

records_duty::~records_duty()
{
    stop();
}

void records_duty::start()
{
    asio::co_spawn(context_, poll(), asio::detached);
    thread_ = std::thread{[this] { context_.run(); }};
}

void records_duty::stop()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

asio::awaitable<void> records_duty::poll()
{
    asio::steady_timer timer{context_};
    while (true)
    {
        co_await poll_once();
        timer.expires_after(poll_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> records_duty::poll_once()
{
    using namespace decision::records;
    counts_.platform_reads.fetch_add(1, std::memory_order_relaxed);
    const auto head = co_await table_.read(head_table, head_key);
    if (!head)
    {
        counts_.platform_failures.fetch_add(1, std::memory_order_relaxed);
        log_event(
            log_level::warning,
            log_channel::platform,
            "head_unread",
            "reason",
            to_string(head.error()));
        co_return;
    }
    if (!head.value() || to_revision(head.value()->value) <= delivered_)
    {
        co_return;
    }
    const auto at = to_revision(head.value()->value);
    const auto rows = co_await table_.scan(records_table, "");
    if (!rows)
    {
        co_return;
    }
    std::vector<accepted_change> changes;
    for (const auto& row : rows.value())
    {
        if (auto change = parse_change(row.value))
        {
            changes.push_back(std::move(change).value());
        }
    }
    auto loaded = load_configuration(at, changes, {});
    for (const auto& [key, reason] : loaded.unreadable)
    {
        log_event(
            log_level::error,
            log_channel::records,
            "record_unreadable",
            "key",
            key,
            "reason",
            to_string(reason));
    }
    auto next = std::make_shared<configuration>(std::move(loaded.value));
    if (deliver_(std::move(next)))
    {
        delivered_ = at;
    }
}

} // namespace waxwingvalve::daemon
