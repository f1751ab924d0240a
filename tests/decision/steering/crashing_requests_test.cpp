// Pattern: requests that crash every worker, among popular requests that are
// cut off with those workers. Plays it over many daemons without a network:
// the former must be refused everywhere in time, the latter nowhere.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "decision/steering/crash_gossip.hpp"
#include "decision/steering/crash_tracker.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace waxwingvalve::decision::steering;
using waxwingvalve::base::duration;
using waxwingvalve::base::instant;

constexpr auto tick = 10ms;
constexpr auto round_time = 500ms;
constexpr auto run_time = 40ms;
constexpr auto message_time = 100ms;
constexpr std::size_t receivers_a_round = 3;
constexpr request_digest first_killer = 1'000;
constexpr int popular_requests = 2;
// Bound on the runs of a request later than `settle_time` after it crashed its
// third worker.
constexpr int max_late_runs = 3;
constexpr auto settle_time = 4s;

struct model_worker
{
    std::uint64_t incarnation{};
    // Its address refuses connections until then, as after a crash or behind a
    // cut path.
    instant away_until{};
};

struct run
{
    std::size_t daemon{};
    std::size_t worker{};
    std::uint64_t incarnation{};
    request_digest digest{};
    instant sent_at{};
};

struct killer_record
{
    int crashes{};
    instant third_crash{instant::max()};
    int late_runs{};
};

struct daemon
{
    explicit daemon(std::uint64_t seed) : gossip{seed} {}

    crash_tracker tracker;
    crash_gossip gossip;
};

struct delivery
{
    std::size_t to{};
    instant at{};
    crash_news news{};
};

class crash_model
{
public:
    crash_model(std::size_t daemons, std::size_t workers, std::uint64_t seed)
        : random_{seed}
    {
        for (std::size_t i = 0; i < daemons; ++i)
        {
            daemons_.emplace_back(random_());
        }
        for (std::size_t i = 0; i < workers; ++i)
        {
            workers_.push_back({.incarnation = i + 1});
        }
    }

    void send(request_digest digest)
    {
        const auto at = pick(daemons_.size());
        if (daemons_[at].tracker.is_poisonous(digest))
        {
            refused_popular += digest < first_killer ? 1 : 0;
            refused_killers += digest < first_killer ? 0 : 1;
            return;
        }
        const auto to = pick(workers_.size());
        if (now < workers_[to].away_until)
        {
            return;
        }
        runs_.push_back({at, to, workers_[to].incarnation, digest, now});
        if (digest >= first_killer)
        {
            count_killer(digest);
            end_worker(to, 2s, false);
        }
    }

    // All runs at the worker end without an answer. Behind a cut path the
    // worker's incarnation stays the same.
    void end_worker(std::size_t number, duration away, bool path_cut)
    {
        workers_[number].away_until = now + away;
        std::erase_if(
            runs_,
            [&](const run& one)
            {
                if (one.worker != number)
                {
                    return false;
                }
                record_crash(one);
                return true;
            });
        if (!path_cut)
        {
            workers_[number].incarnation += workers_.size();
        }
    }

    void step()
    {
        now += tick;
        finish_runs();
        deliver();
        if (now >= next_round_)
        {
            next_round_ = now + round_time;
            gossip();
        }
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(
            random_);
    }

    bool chance(double share)
    {
        return std::bernoulli_distribution{share}(random_);
    }

    instant now{1h};
    int refused_popular{0};
    int refused_killers{0};
    std::map<request_digest, killer_record> killers;

private:
    void count_killer(request_digest digest)
    {
        auto& killer = killers[digest];
        if (killer.third_crash != instant::max() &&
            now > killer.third_crash + settle_time)
        {
            ++killer.late_runs;
        }
        ++killer.crashes;
        if (killer.crashes == 3)
        {
            killer.third_crash = now;
        }
    }

    void record_crash(const run& one)
    {
        auto& at = daemons_[one.daemon];
        const worker_crash crash{
            .id = at.gossip.new_id(),
            .digest = one.digest,
            .worker = one.incarnation,
            .sent_at = one.sent_at,
            .ended_at = now};
        if (at.tracker.record_crash(crash))
        {
            at.gossip.publish(crash);
        }
    }

    void finish_runs()
    {
        std::erase_if(
            runs_,
            [&](const run& one)
            {
                if (now < one.sent_at + run_time)
                {
                    return false;
                }
                auto& at = daemons_[one.daemon];
                if (const auto answer =
                        at.tracker.record_answer(one.digest, now))
                {
                    at.gossip.publish(*answer);
                }
                return true;
            });
    }

    void gossip()
    {
        for (auto& from : daemons_)
        {
            const auto news = from.gossip.next_round(now);
            if (news.crashes.empty() && news.answers.empty())
            {
                continue;
            }
            for (std::size_t i = 0; i < receivers_a_round; ++i)
            {
                deliveries_.push_back(
                    {pick(daemons_.size()), now + message_time, news});
            }
        }
    }

    void deliver()
    {
        std::erase_if(
            deliveries_,
            [&](const delivery& message)
            {
                if (now < message.at)
                {
                    return false;
                }
                receive(daemons_[message.to], message.news);
                return true;
            });
    }

    void receive(daemon& to, const crash_news& news)
    {
        for (const auto& event : news.crashes)
        {
            if (const auto crash = to.gossip.receive(event, now))
            {
                to.tracker.record_crash(*crash);
            }
        }
        for (const auto& event : news.answers)
        {
            if (const auto answer = to.gossip.receive(event, now))
            {
                to.tracker.record_remote_answer(*answer);
            }
        }
    }

    std::mt19937_64 random_;
    std::vector<daemon> daemons_;
    std::vector<model_worker> workers_;
    std::vector<run> runs_;
    std::vector<delivery> deliveries_;
    instant next_round_{};
};

// Popular requests, one in ten milliseconds each, for a minute. Every second a
// path is cut or a worker ends by itself; one zone of workers ends as a whole.
void play(crash_model& model, std::size_t workers)
{
    const auto end = model.now + 60s;
    instant next_fault = model.now + 1s;
    instant next_killers = model.now + 5s;
    const instant zone_loss = model.now + 20s;
    bool zone_lost = false;
    while (model.now < end)
    {
        model.step();
        for (request_digest digest = 1; digest <= popular_requests; ++digest)
        {
            model.send(digest);
        }
        if (model.now >= next_fault)
        {
            next_fault = model.now + 1s;
            model.end_worker(model.pick(workers), 1s, model.chance(0.7));
        }
        if (!zone_lost && model.now >= zone_loss)
        {
            zone_lost = true;
            for (std::size_t i = 0; i < workers / 3; ++i)
            {
                model.end_worker(i, 3s, false);
            }
        }
        if (model.now >= next_killers)
        {
            next_killers = model.now + 700ms;
            for (request_digest killer = 0; killer < 4; ++killer)
            {
                model.send(first_killer + killer);
            }
        }
    }
}

void check(std::size_t daemons, std::size_t workers)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        BOOST_TEST_CONTEXT(daemons << " daemons, seed " << seed)
        {
            crash_model model{daemons, workers, seed};
            play(model, workers);
            BOOST_TEST(model.refused_popular == 0);
            BOOST_TEST(model.refused_killers > 0);
            for (const auto& [digest, killer] : model.killers)
            {
                BOOST_TEST(killer.late_runs <= max_late_runs);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_AUTO_TEST_CASE(five_daemons)
{
    check(5, 6);
}

BOOST_AUTO_TEST_CASE(eleven_daemons)
{
    check(11, 30);
}

BOOST_AUTO_TEST_CASE(two_hundred_daemons)
{
    check(200, 300);
}

BOOST_AUTO_TEST_SUITE_END()
