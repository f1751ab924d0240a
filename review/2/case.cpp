// Workers spoil a few answers: the body is chunked, and the trailer after it
// holds a field of 70,000 bytes.
#include <random>

#include "../stand_ins/stand_ins.hpp"

using namespace waxwingvalve::review;

namespace
{

constexpr int daemon_count = 3;
constexpr int worker_count = 4;
constexpr int faulty_workers = 2;
constexpr int caller_count = 20;
constexpr double load_until_s = 40;
constexpr milliseconds work{100};
// Share of the answers of a faulty worker that are spoilt.
constexpr double spoilt_share = 0.02;
constexpr std::size_t trailer_bytes = 70'000;

std::string spoilt_answer(const message& request)
{
    return "HTTP/1.1 200 OK\r\nX-Waxwingvalve-Attempt-Id: " +
           request.field("X-Waxwingvalve-Attempt-Id") +
           "\r\nTransfer-Encoding: "
           "chunked\r\n\r\n5\r\nspoil\r\n0\r\nX-Spoilt: " +
           std::string(trailer_bytes, 'x') + "\r\n\r\n";
}

class spoiling_worker
{
public:
    spoiling_worker(run_ledger& ledger, std::string id, unsigned seed)
        : ledger_{ledger}, id_{std::move(id)}, random_{seed}
    {
    }

    bool serve(connection& peer, const message& request)
    {
        ledger_.add(request.field("X-Waxwingvalve-Attempt-Id"), id_);
        std::this_thread::sleep_for(work);
        return peer.send(
            spoils() ? spoilt_answer(request)
                     : signed_answer(request, "done by " + id_));
    }

private:
    bool spoils()
    {
        const std::scoped_lock lock{mutex_};
        return in_trouble_now() &&
               std::bernoulli_distribution{spoilt_share}(random_);
    }

    run_ledger& ledger_;
    std::string id_;
    std::mutex mutex_;
    std::mt19937 random_;
};

} // namespace

int main(int argc, char** argv)
{
    read_arguments(argc, argv);
    record out{"review/2/record.txt"};
    deployment world{daemon_count};
    world.table().put(
        "op",
        "config",
        configuration(
            1, {{"/check/", "safe", "desk"}, {"/book/", "unsafe", "desk"}}));
    std::vector<std::unique_ptr<spoiling_worker>> faulty;
    for (int i = 0; i < worker_count; ++i)
    {
        const worker_identity who{
            "i-" + std::to_string(i), "desk", std::string{main_zone}, 6};
        if (!with_trouble() || i >= faulty_workers)
        {
            world.add_sound_worker(who, work);
            continue;
        }
        faulty.push_back(
            std::make_unique<spoiling_worker>(world.ledger(), who.id, i + 1));
        world.add_worker(
            who,
            [one = faulty.back().get()](connection& peer, const message& in)
            { return one->serve(peer, in); });
    }
    if (!world.start_all())
    {
        out.line("the daemons did not get ready");
        world.end(2);
    }
    sleep_until_s(seconds_now() + 1);
    outcome_counts counts;
    std::thread callers{
        [&]
        {
            run_callers(
                caller_count,
                load_until_s,
                out,
                counts,
                [&world](int caller, int i, const std::string& id)
                {
                    const auto& entry =
                        *world.daemons().at((caller + i) % daemon_count);
                    const bool books = i % 3 == 0;
                    return caller_request{
                        entry.callers(),
                        request_text(
                            books ? "POST" : "GET",
                            books ? "/book/1" : "/check/1",
                            id,
                            4'000)};
                });
        }};
    const auto own_ends = world.keep_running(load_until_s, out);
    callers.join();
    for (const auto& [name, count] : own_ends)
    {
        out.line(name + " ended by itself " + std::to_string(count) + " times");
    }
    out.line("answers: " + counts.text());
    world.end(fault_rule_broken(own_ends, daemon_count) ? 1 : 0);
}
