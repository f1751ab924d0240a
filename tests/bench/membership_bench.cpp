// What membership costs and how soon it notices, over a network in one
// process with delay and loss. Seeded; run by hand. Prints one row for each
// number of members and each loss.
#include <algorithm>
#include <cstdint>
#include <ctime>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "decision/membership/swim.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::membership;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr milliseconds tick_time{100};
constexpr milliseconds settle{60'000};
constexpr milliseconds measured{60'000};
constexpr milliseconds watched{60'000};
constexpr milliseconds zone_delay{1};
constexpr milliseconds region_delay{35};
constexpr int tcp_and_ip_header = 66;

struct shape
{
    int members{};
    int zones{};
};

member_report report_of(int number, const shape& all)
{
    member_report out;
    out.name = fmt::format("vm-{}", number);
    out.zone = fmt::format("zone-{}", number % all.zones);
    out.region = fmt::format("region-{}", number % all.zones / 2);
    out.caller_address = {
        fmt::format("10.0.{}.{}", number / 250, 1 + number % 250), 8080};
    out.peer_address = {out.caller_address.address, 8081};
    out.incarnation = 1;
    out.key_prefix = fmt::format("{:016x}", number);
    out.rooms = {{"seam-registry", 16, 8}, {"lacquer-catalogue", 8, 4}};
    return out;
}

struct in_flight
{
    base::instant due{};
    std::uint64_t order{};
    std::size_t to{};
    std::vector<std::uint8_t> bytes{};

    bool operator<(const in_flight& other) const
    {
        return std::pair{due, order} > std::pair{other.due, other.order};
    }
};

struct totals
{
    std::uint64_t messages{};
    std::uint64_t bytes{};
    std::size_t largest{};
};

class bench
{
public:
    bench(shape all, double loss) : all_{all}, loss_{loss}, random_{seed}
    {
        for (int number = 0; number < all.members; ++number)
        {
            const auto report = report_of(number, all);
            numbers_[report.name] = nodes_.size();
            nodes_.push_back(
                std::make_unique<swim>(report, swim_options{}, random_()));
        }
        for (auto& node : nodes_)
        {
            add_seeds(*node);
        }
        dead_.resize(nodes_.size());
    }

    void run(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += milliseconds{1})
        {
            deliver();
            const auto turn =
                now_.time_since_epoch() / milliseconds{1} % tick_time.count();
            for (std::size_t one = 0; one < nodes_.size(); ++one)
            {
                // Daemons do not tick in step.
                if (!dead_[one] &&
                    static_cast<long>(one) % tick_time.count() == turn)
                {
                    send(nodes_[one]->tick(now_));
                }
            }
        }
    }

    void kill(std::size_t one) { dead_[one] = true; }

    std::uint64_t suspicions() const
    {
        std::uint64_t out = 0;
        for (const auto& node : nodes_)
        {
            out += node->suspicions();
        }
        return out;
    }

    // Members of its zone that hold `name` for suspect or dead.
    std::pair<int, int> noticed_by(std::size_t gone) const
    {
        const auto name = nodes_[gone]->self().name;
        std::pair<int, int> out{};
        for (std::size_t one = 0; one < nodes_.size(); ++one)
        {
            if (dead_[one] ||
                nodes_[one]->self().zone != nodes_[gone]->self().zone)
            {
                continue;
            }
            ++out.second;
            for (const auto& other : nodes_[one]->snapshot().members)
            {
                const bool down = other.state == member_state::suspect ||
                                  other.state == member_state::dead;
                out.first += other.report.name == name && down ? 1 : 0;
            }
        }
        return out;
    }

    totals sent;

private:
    // Those of the own zone and two of each other, as settings would name.
    void add_seeds(swim& node)
    {
        std::map<std::string, int> named;
        for (int number = 0; number < all_.members; ++number)
        {
            const auto report = report_of(number, all_);
            if (report.zone == node.self().zone || named[report.zone]++ < 2)
            {
                node.add_seed(report);
            }
        }
    }

    void send(const std::vector<outgoing_message>& messages)
    {
        for (const auto& one : messages)
        {
            auto bytes = schema::encode(one.message);
            ++sent.messages;
            sent.bytes += bytes.size() + tcp_and_ip_header;
            sent.largest = std::max(sent.largest, bytes.size());
            const auto to = numbers_.at(one.name);
            const auto from = numbers_.at(one.message.sender);
            if (std::uniform_real_distribution<>{}(random_) < loss_)
            {
                continue;
            }
            const bool near =
                nodes_[to]->self().zone == nodes_[from]->self().zone;
            network_.push(
                {now_ + (near ? zone_delay : region_delay),
                 ++order_,
                 to,
                 std::move(bytes)});
        }
    }

    void deliver()
    {
        while (!network_.empty() && network_.top().due <= now_)
        {
            const auto one = network_.top();
            network_.pop();
            if (dead_[one.to])
            {
                continue;
            }
            const auto message = schema::parse_message(one.bytes);
            const auto answers = nodes_[one.to]->receive(message.value(), now_);
            if (answers)
            {
                send(answers.value());
            }
        }
    }

    shape all_;
    double loss_;
    std::mt19937_64 random_;
    base::instant now_{std::chrono::hours{1}};
    std::vector<std::unique_ptr<swim>> nodes_;
    std::map<std::string, std::size_t> numbers_;
    std::vector<bool> dead_;
    std::priority_queue<in_flight> network_;
    std::uint64_t order_{};
};

// Time until the first and until every member of the zone suspects it.
std::pair<milliseconds, milliseconds> time_to_notice(bench& one)
{
    std::pair<milliseconds, milliseconds> out{watched, watched};
    one.kill(0);
    for (milliseconds passed{0}; passed < watched; passed += tick_time)
    {
        const auto [noticed, all] = one.noticed_by(0);
        if (noticed > 0)
        {
            out.first = std::min(out.first, passed);
        }
        if (noticed == all)
        {
            out.second = passed;
            return out;
        }
        one.run(tick_time);
    }
    return out;
}

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void print_row(const shape& all, double loss)
{
    bench one{all, loss};
    one.run(settle);
    const auto began = one.sent;
    const auto suspicions = one.suspicions();
    const auto processor = processor_seconds();
    one.run(measured);
    const auto spent = processor_seconds() - processor;
    const double member_seconds =
        static_cast<double>(all.members) *
        std::chrono::duration<double>(measured).count();
    const auto false_suspicions = one.suspicions() - suspicions;
    const auto messages = one.sent.messages - began.messages;
    const auto bytes = one.sent.bytes - began.bytes;
    const auto largest = one.sent.largest;
    const auto [first, last] = time_to_notice(one);
    fmt::print(
        "{:>7} {:>5} {:>4.0f}% {:>8.1f} {:>9.0f} {:>8} {:>8.3f}% {:>9} {:>8} "
        "{:>8}\n",
        all.members,
        all.zones,
        loss * 100,
        static_cast<double>(messages) / member_seconds,
        static_cast<double>(bytes) / member_seconds,
        largest,
        spent / member_seconds * 100,
        false_suspicions,
        first.count(),
        last.count());
}

} // namespace

int main()
{
    fmt::print(
        "seed {}; per daemon and second, sent; 60 s measured\n"
        "members zones  loss messages  bytes/s  largest  core      "
        "false-sus first-ms  zone-ms\n",
        seed);
    for (const auto& all : {shape{11, 6}, {50, 8}, {200, 17}, {740, 17}})
    {
        for (const double loss : {0.0, 0.01, 0.05})
        {
            print_row(all, loss);
        }
    }
}
