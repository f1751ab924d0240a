#include "daemon/records_duty.hpp"

#include <algorithm>
#include <charconv>
#include <tuple>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.hpp"
#include "decision/records/layout.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::daemon
{

namespace asio = boost::asio;
using namespace decision::records;
using base::log_channel;
using base::log_event;
using base::log_level;

namespace
{

constexpr std::chrono::milliseconds platform_timeout{1000};
constexpr std::chrono::milliseconds peer_timeout{300};
constexpr std::chrono::milliseconds peer_period{1000};
constexpr std::size_t peers_told = 3;
constexpr std::size_t peers_asked_first = 3;
constexpr std::size_t peer_answers_kept = 8;

revision to_revision(const std::string& text)
{
    revision out{};
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

asio::awaitable<void> wait_for(asio::io_context& context, base::duration time)
{
    asio::steady_timer timer{context};
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

void log_refused(std::string_view key, const base::error& reason)
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

std::vector<accepted_change> parse_rows(std::span<const store::table_row> rows)
{
    std::vector<accepted_change> out;
    for (const auto& row : rows)
    {
        auto change = parse_change(row.value);
        if (!change)
        {
            log_refused(row.key, change.error());
            continue;
        }
        out.push_back(std::move(change).value());
    }
    return out;
}

} // namespace

records_duty::records_duty(
    const schema::daemon_settings& settings,
    figures& counts,
    std::function<bool(configuration_pointer)> deliver)
    : context_{1}, settings_{settings}, counts_{counts}, deliver_{std::move(
                                                             deliver)},
      table_{settings.platform.table, platform_timeout},
      hints_{
          context_,
          [this](configuration_hint heard) {
              asio::co_spawn(
                  context_, ask_hinted(std::move(heard)), asio::detached);
          }},
      known_{std::make_shared<configuration>()}
{
}

records_duty::~records_duty()
{
    stop();
}

base::result<void> records_duty::start()
{
    if (settings_.operator_keys_file.empty())
    {
        log_event(
            log_level::warning, log_channel::records, "signatures_unchecked");
    }
    else
    {
        BOOST_OUTCOME_TRY(
            const auto text, schema::read_file(settings_.operator_keys_file));
        BOOST_OUTCOME_TRY(keys_, parse_operator_keys(text));
    }
    asio::co_spawn(context_, run(), asio::detached);
    thread_ = std::thread{[this] { context_.run(); }};
    return base::success();
}

void records_duty::stop()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void records_duty::hint(configuration_hint heard)
{
    // A hint that finds the ring full is lost; the peers are asked anyway.
    hints_.push(std::move(heard));
}

asio::awaitable<void> records_duty::run()
{
    co_await ask_all_first();
    asio::co_spawn(context_, ask_peers(), asio::detached);
    while (true)
    {
        co_await wait_for(
            context_, next_store_read_delay(peers_reached(), random_share()));
        co_await read_store();
        hand_over();
    }
}

// The highest of the store and the peers of the own zone, or of any zone
// when this one has none.
asio::awaitable<void> records_duty::ask_all_first()
{
    co_await read_store();
    std::vector<peer_pointer> order;
    for (const auto& peer : settings_.peers)
    {
        order.push_back(&peer);
    }
    std::shuffle(order.begin(), order.end(), random_);
    std::stable_partition(
        order.begin(),
        order.end(),
        [&](peer_pointer peer) { return peer->zone == settings_.zone; });
    std::size_t answered = 0;
    for (const auto* peer : order)
    {
        answered += co_await ask_peer(peer) ? 1 : 0;
        if (answered == peers_asked_first)
        {
            break;
        }
    }
    asked_all_ = true;
    counts_.sources_asked.store(true);
    hand_over();
}

asio::awaitable<void> records_duty::ask_peers()
{
    while (!settings_.peers.empty())
    {
        co_await wait_for(
            context_,
            std::chrono::duration_cast<base::duration>(
                peer_period * (0.5 + random_share())));
        co_await ask_peer(any_peer());
    }
}

asio::awaitable<void> records_duty::ask_hinted(configuration_hint heard)
{
    const auto peer = std::ranges::find(
        settings_.peers, heard.from, &schema::peer_settings::name);
    if (asking_hinted_ || heard.revision <= known_->revision ||
        peer == settings_.peers.end())
    {
        co_return;
    }
    asking_hinted_ = true;
    co_await ask_peer(&*peer);
    asking_hinted_ = false;
}

asio::awaitable<bool> records_duty::read_store()
{
    counts_.platform_reads.fetch_add(1, std::memory_order_relaxed);
    const auto row = co_await table_.read(head_table, head_key);
    if (!row)
    {
        counts_.platform_failures.fetch_add(1, std::memory_order_relaxed);
        log_event(
            log_level::warning,
            log_channel::platform,
            "head_unread",
            "reason",
            to_string(row.error()));
        co_return false;
    }
    const auto head = row.value() ? to_revision(row.value()->value) : 0;
    if (head <= known_->revision)
    {
        co_return true;
    }
    auto changes = co_await read_changes(head);
    if (!changes || !includes_revision(*changes, head))
    {
        log_event(
            log_level::warning,
            log_channel::platform,
            "records_stale",
            "head",
            head);
        co_return true;
    }
    take(head, std::move(*changes), "store");
    co_return true;
}

asio::awaitable<std::optional<std::vector<accepted_change>>>
records_duty::read_changes(revision head)
{
    std::vector<store::table_row> rows;
    const auto own = known_->revision;
    if (plan_store_read(own, head) == store_read_plan::log_rows)
    {
        for (auto at = own + 1; at <= head; ++at)
        {
            counts_.platform_reads.fetch_add(1, std::memory_order_relaxed);
            auto row = co_await table_.read(log_table, log_key(at));
            if (!row || !row.value())
            {
                co_return std::nullopt;
            }
            rows.push_back(std::move(*row.value()));
        }
    }
    else
    {
        counts_.platform_reads.fetch_add(1, std::memory_order_relaxed);
        auto all = co_await table_.scan(records_table, "");
        if (!all)
        {
            co_return std::nullopt;
        }
        rows = std::move(all).value();
    }
    auto out = parse_rows(rows);
    const auto* keys = keys_ ? &*keys_ : nullptr;
    if (out.size() == rows.size() && all_valid(out, keys))
    {
        co_return out;
    }
    // The last good change of each record stands in the log.
    counts_.platform_reads.fetch_add(1, std::memory_order_relaxed);
    const auto log_rows = co_await table_.scan(log_table, "");
    if (!log_rows)
    {
        co_return std::nullopt;
    }
    co_return parse_rows(log_rows.value());
}

asio::awaitable<bool> records_duty::ask_peer(peer_pointer peer)
{
    // Named, because GCC 12 destroys an aggregate that is a temporary of a
    // co_await expression twice.
    net::http_request request{
        .method = "GET", .target = configuration_target(known_->revision)};
    const auto answer = co_await net::fetch(
        peer->caller_address,
        std::move(request),
        base::monotonic_clock::now() + peer_timeout);
    note_peer_answer(answer.has_value());
    if (!answer)
    {
        co_return false;
    }
    auto heard = parse_configuration_delta(answer.value().body);
    if (!heard)
    {
        log_refused(peer->name, heard.error());
        co_return true;
    }
    if (heard.value().revision > known_->revision)
    {
        take(
            heard.value().revision,
            std::move(heard.value().changes),
            peer->name);
        hand_over();
    }
    co_return true;
}

void records_duty::take(
    revision at, std::vector<accepted_change> changes, std::string_view source)
{
    // An answer that was under way while another one was taken.
    if (at <= known_->revision)
    {
        return;
    }
    const auto checked =
        check_signatures(std::move(changes), keys_ ? &*keys_ : nullptr);
    for (const auto& [key, reason] : checked.refused)
    {
        log_refused(key, reason);
    }
    auto loaded = apply_changes(*known_, at, checked.kept);
    for (const auto& [key, reason] : loaded.unreadable)
    {
        log_refused(key, reason);
    }
    log_event(
        log_level::info,
        log_channel::records,
        "configuration_learnt",
        "revision",
        at,
        "source",
        source);
    known_ = std::make_shared<configuration>(std::move(loaded.value));
}

void records_duty::hand_over()
{
    if (!asked_all_ || known_->revision <= handed_over_)
    {
        return;
    }
    if (!deliver_(known_))
    {
        return;
    }
    handed_over_ = known_->revision;
    tell_peers();
}

void records_duty::tell_peers()
{
    for (std::size_t told = 0; told < peers_told; ++told)
    {
        if (const auto* peer = any_peer())
        {
            asio::co_spawn(context_, send_hint(peer), asio::detached);
        }
    }
}

asio::awaitable<void> records_duty::send_hint(peer_pointer peer)
{
    // Lost hints cost time, not the change: every daemon asks peers anyway.
    const configuration_hint own{settings_.name, known_->revision};
    net::http_request request{.method = "GET", .target = hint_target(own)};
    std::ignore = co_await net::fetch(
        peer->caller_address,
        std::move(request),
        base::monotonic_clock::now() + peer_timeout);
}

records_duty::peer_pointer records_duty::any_peer()
{
    if (settings_.peers.empty())
    {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> at{
        0, settings_.peers.size() - 1};
    return &settings_.peers[at(random_)];
}

double records_duty::random_share()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_);
}

void records_duty::note_peer_answer(bool answered)
{
    peer_answers_.push_back(answered);
    if (peer_answers_.size() > peer_answers_kept)
    {
        peer_answers_.pop_front();
    }
}

std::size_t records_duty::peers_reached() const
{
    if (peer_answers_.empty())
    {
        return 0;
    }
    const auto answered =
        static_cast<std::size_t>(std::ranges::count(peer_answers_, true));
    return settings_.peers.size() * answered / peer_answers_.size();
}

} // namespace waxwingvalve::daemon
