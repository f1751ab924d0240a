#include "daemon/members_duty.hpp"

#include <random>
#include <span>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.hpp"

namespace waxwingvalve::daemon
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;
using decision::membership::member_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds tick_period{100};
constexpr milliseconds members_period{200};
constexpr milliseconds vm_list_period{2000};
constexpr milliseconds platform_timeout{1000};
// Between two attempts to connect to a peer that may be gone.
constexpr milliseconds proof_period{200};
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds hand_over_time{1000};
// A VM off the list, and silent, for longer than this runs nothing any more.
constexpr seconds tenure{30};
constexpr std::chrono::minutes unused_link_time{2};
// Stamps of one process; the next one's are above them.
constexpr unsigned stamp_bits = 12;

schema::member_report own_report(
    const schema::daemon_settings& settings, std::uint64_t incarnation)
{
    schema::member_report out;
    out.name = settings.name;
    out.region = settings.region;
    out.zone = settings.zone;
    out.caller_address = settings.caller_address;
    out.peer_address = settings.peer_address;
    out.incarnation = incarnation;
    return out;
}

std::uint64_t owned_slots(std::span<const schema::service_room> rooms)
{
    std::uint64_t out = 0;
    for (const auto& room : rooms)
    {
        out += room.slots;
    }
    return out;
}

std::string_view to_text(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

} // namespace

members_duty::members_duty(
    const schema::daemon_settings& settings,
    figures& counts,
    receivers deliver,
    std::uint64_t incarnation)
    : context_{1}, settings_{settings}, counts_{counts}, deliver_{std::move(
                                                             deliver)},
      members_{own_report(settings, incarnation), {}, std::random_device{}()},
      ownership_{settings.name, members_.self().incarnation << stamp_bits, {}},
      link_{
          context_,
          [this](std::span<const std::uint8_t> bytes) { receive(bytes); },
          [this](const base::endpoint& peer) { on_lost(peer); }},
      vm_list_{settings.platform.vm_list, platform_timeout}, timer_{context_},
      reports_{
          context_, [this](serving_report report) { adopt(std::move(report)); }}
{
    for (const auto& peer : settings.peers)
    {
        schema::member_report seed;
        seed.name = peer.name;
        seed.region = peer.region;
        seed.zone = peer.zone;
        seed.caller_address = peer.caller_address;
        seed.peer_address = peer.peer_address;
        members_.add_seed(std::move(seed));
    }
}

members_duty::~members_duty()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

base::result<void> members_duty::start()
{
    BOOST_OUTCOME_TRY(link_.listen(settings_.peer_address));
    take_members(base::monotonic_clock::now());
    asio::co_spawn(context_, read_vm_list(), asio::detached);
    tick_later();
    thread_ = std::thread{[this] { context_.run(); }};
    return base::success();
}

bool members_duty::offer(serving_report report)
{
    return reports_.push(std::move(report));
}

void members_duty::begin_stop()
{
    asio::post(
        context_,
        [this]
        {
            leaving_ = true;
            auto report = members_.self();
            report.leaving = true;
            members_.set_self(std::move(report));
            send(members_.announce(base::monotonic_clock::now()));
            ownership_.leave();
            log_changes();
            deliver(base::monotonic_clock::now());
        });
}

void members_duty::end_stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    asio::post(
        context_,
        [this]
        {
            ownership_.on_serving_state({ownership_.owned().version, {}});
            auto timer = std::make_shared<asio::steady_timer>(context_);
            timer->expires_after(hand_over_time);
            timer->async_wait([this, timer](const boost::system::error_code&)
                              { context_.stop(); });
        });
    thread_.join();
}

void members_duty::tick_later()
{
    timer_.expires_after(tick_period);
    timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
            {
                tick();
                tick_later();
            }
        });
}

void members_duty::tick()
{
    const auto now = base::monotonic_clock::now();
    take_members(now);
    look_for_proofs(now);
    send(members_.tick(now));
    // Without a configuration it is not known what there is to claim.
    for (const auto& claims : ownership_.tick(now))
    {
        send(claims);
    }
    link_.close_unused(now - unused_link_time);
    log_changes();
    deliver(now);
}

void members_duty::take_members(base::instant now)
{
    for (const auto& one : members_.snapshot().members)
    {
        if (one.report.zone != settings_.zone)
        {
            continue;
        }
        const auto& name = one.report.name;
        const auto missing = listed_.missing_since(name);
        ownership_.set_vm_listed(name, !missing);
        const bool stays = one.state == member_state::alive ||
                           one.state == member_state::suspect;
        ownership_.set_member(name, stays && !missing);
        if (missing && now - *missing > tenure && now - one.heard_at > tenure)
        {
            members_.mark_dead(name, now);
            ownership_.on_member_dead(name, now);
        }
    }
}

// A refused connection is the proof that no process of a peer runs. It is
// looked for where a claim waits or a probe went unanswered.
void members_duty::look_for_proofs(base::instant now)
{
    auto names = members_.zone_suspects();
    const auto awaited = ownership_.awaited();
    names.insert(names.end(), awaited.begin(), awaited.end());
    for (const auto& name : names)
    {
        look_for_proof(name, now);
    }
}

void members_duty::look_for_proof(const std::string& name, base::instant now)
{
    auto& last = connected_at_[name];
    if (now - last < proof_period || !connecting_.insert(name).second)
    {
        return;
    }
    last = now;
    asio::co_spawn(context_, try_connection(name), asio::detached);
}

void members_duty::on_lost(const base::endpoint& peer)
{
    for (const auto& one : members_.snapshot().members)
    {
        if (one.report.peer_address == peer &&
            one.report.zone == settings_.zone &&
            one.state != member_state::dead)
        {
            look_for_proof(one.report.name, base::monotonic_clock::now());
        }
    }
}

asio::awaitable<void> members_duty::try_connection(std::string name)
{
    using asio::ip::tcp;
    const auto* report = members_.find(name);
    if (report == nullptr)
    {
        connecting_.erase(name);
        co_return;
    }
    const auto began = base::monotonic_clock::now();
    const auto where = report->peer_address;
    const auto incarnation = report->incarnation;
    tcp::socket socket{context_};
    asio::steady_timer timer{context_};
    timer.expires_after(connect_timeout);
    timer.async_wait(
        [&socket](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
            {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    boost::system::error_code failure;
    co_await socket.async_connect(
        {asio::ip::make_address(where.address), where.port},
        asio::redirect_error(asio::use_awaitable, failure));
    const bool in_time = timer.cancel() > 0;
    if (!in_time)
    {
        // The handler of the timer refers to this frame.
        co_await asio::post(context_, asio::use_awaitable);
    }
    connecting_.erase(name);
    const auto now = base::monotonic_clock::now();
    if (failure == asio::error::connection_refused)
    {
        ownership_.on_member_dead(name, began);
        const auto* after = members_.find(name);
        if (after != nullptr && after->incarnation == incarnation)
        {
            members_.mark_dead(name, now);
        }
        co_return;
    }
    // It may live behind a connection that went silent.
    const auto suspects = members_.zone_suspects();
    if (std::ranges::find(suspects, name) != suspects.end())
    {
        link_.reset(where);
    }
}

asio::awaitable<void> members_duty::read_vm_list()
{
    asio::steady_timer timer{context_};
    while (true)
    {
        const auto list = co_await vm_list_.read();
        std::set<std::string> live;
        std::set<std::string, std::less<>> leaving;
        for (const auto& vm : list ? list.value() : std::vector<store::vm>{})
        {
            if (vm.state == store::vm_state::leaving)
            {
                leaving.insert(vm.address);
            }
            const bool entry = vm.role == store::vm_role::entry;
            if (!entry || vm.zone != settings_.zone)
            {
                continue;
            }
            live.insert(vm.name);
            schema::member_report seed = own_report(settings_, 0);
            seed.name = vm.name;
            seed.caller_address.address = vm.address;
            seed.peer_address.address = vm.address;
            members_.add_seed(std::move(seed));
        }
        if (list)
        {
            listed_.update_vm_list(live, base::monotonic_clock::now());
            // A refused hand-over is made up for by the next reading.
            deliver_.leaving_vms(std::move(leaving));
        }
        timer.expires_after(vm_list_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void members_duty::deliver(base::instant now)
{
    deliver_.owned(ownership_.owned());
    if (now - delivered_members_ >= members_period)
    {
        delivered_members_ = now;
        deliver_.members(
            std::make_shared<const decision::membership::member_snapshot>(
                members_.snapshot()));
    }
}

void members_duty::log_changes()
{
    const auto& now = ownership_.owned().addresses;
    const auto tell = [&](const base::endpoint& worker, std::string_view why)
    {
        log_event(
            log_level::info,
            log_channel::ownership,
            "decision",
            "kind",
            "ownership",
            "worker",
            base::to_string(worker),
            "chosen",
            why,
            "version",
            ownership_.owned().version);
    };
    for (const auto& worker : now)
    {
        if (!logged_.contains(worker))
        {
            tell(worker, "owned");
        }
    }
    for (const auto& worker : logged_)
    {
        if (!now.contains(worker))
        {
            tell(worker, "dropped");
        }
    }
    logged_ = now;
    counts_.owned_workers.store(now.size());
    for (const auto& one : members_.snapshot().members)
    {
        auto& before = states_[one.report.name];
        if (before != one.state)
        {
            before = one.state;
            log_event(
                log_level::info,
                log_channel::membership,
                "member_state",
                "member",
                one.report.name,
                "incarnation",
                one.report.incarnation,
                "state",
                to_text(one.state));
        }
    }
}

void members_duty::adopt(serving_report report)
{
    if (report.configuration && report.configuration->revision != configured_)
    {
        configured_ = report.configuration->revision;
        take_workers(*report.configuration);
    }
    auto self = members_.self();
    // Rare, and worth telling the zone at once: where requests can go moved.
    const bool moved = owned_slots(self.rooms) != owned_slots(report.rooms);
    self.revision = configured_;
    self.rooms = std::move(report.rooms);
    self.key_prefix = std::move(report.key_prefix);
    self.poison_digests = std::move(report.poison_digests);
    self.leaving = leaving_;
    members_.set_self(std::move(self));
    ownership_.on_serving_state(std::move(report.state));
    if (moved)
    {
        send(members_.announce(base::monotonic_clock::now()));
    }
}

void members_duty::take_workers(const decision::records::configuration& next)
{
    std::vector<decision::ownership::zone_worker> workers;
    for (const auto& [key, record] : next.by_key)
    {
        const auto* service = std::get_if<schema::service>(&record.body);
        if (service == nullptr)
        {
            continue;
        }
        for (const auto& one : service->workers)
        {
            if (one.zone == settings_.zone)
            {
                workers.push_back({one.address, one.slots});
            }
        }
    }
    ownership_.set_workers(workers);
}

void members_duty::receive(std::span<const std::uint8_t> bytes)
{
    const auto message = schema::parse_message(bytes);
    if (!message)
    {
        log_event(
            log_level::warning,
            log_channel::link,
            "message_refused",
            "reason",
            to_string(message.error()));
        return;
    }
    auto answers =
        members_.receive(message.value(), base::monotonic_clock::now());
    if (!answers)
    {
        return;
    }
    send(answers.value());
    receive_claims(message.value());
}

void members_duty::receive_claims(const schema::peer_message& message)
{
    const auto* sender = members_.find(message.sender);
    if (sender == nullptr || sender->zone != settings_.zone)
    {
        return;
    }
    if (message.kind == schema::message_kind::grant)
    {
        ownership_.on_grant(message.sender, message.claims);
    }
    if (message.kind == schema::message_kind::claim)
    {
        const auto grants = ownership_.on_claim(message.sender, message.claims);
        if (grants)
        {
            send(*grants);
        }
    }
}

void members_duty::send(
    const std::vector<decision::membership::outgoing_message>& messages)
{
    for (const auto& one : messages)
    {
        link_.send(one.peer_address, schema::encode(one.message));
    }
}

void members_duty::send(const decision::ownership::claim_message& claims)
{
    const auto* to = members_.find(claims.to);
    if (to == nullptr)
    {
        return;
    }
    schema::peer_message message;
    members_.set_header(message);
    message.kind = claims.kind;
    message.claims = claims.claims;
    // A peer that never heard of this daemon learns where to answer.
    message.members.push_back({members_.self(), 0, false});
    link_.send(to->peer_address, schema::encode(message));
}

} // namespace waxwingvalve::daemon
