// A worker in trouble sends bytes that are no answer, without end, where the
// size of a chunk of the body is due, until the caller closes.
#include <random>

#include "../stand_ins/stand_ins.hpp"

using namespace waxwingvalve::review;

namespace
{

constexpr int daemon_count = 2;
constexpr int worker_count = 4;
constexpr int faulty_workers = 2;
constexpr int caller_count = 20;
constexpr double load_until_s = 100;
constexpr milliseconds work{100};
constexpr int route_timeout_ms = 5'000;
// Share of a worker's answers that do not end, one at a time.
constexpr double endless_share = 0.02;
// Two workers together stay below the 125 MB/s of a machine's link of 1,000
// Mbit/s.
constexpr double bytes_per_s = 60e6;

class endless_worker
{
public:
    endless_worker(
        deployment& world, record& out, std::string id, unsigned seed)
        : world_{world}, out_{out}, id_{std::move(id)}, random_{seed}
    {
    }

    bool serve(connection& peer, const message& request)
    {
        const auto attempt = request.field("X-Waxwingvalve-Attempt-Id");
        world_.ledger().add(attempt, id_);
        const std::unique_lock alone{endless_, std::try_to_lock};
        if (alone.owns_lock() && begins_endless())
        {
            send_endless(peer, attempt);
            return false;
        }
        std::this_thread::sleep_for(work);
        return peer.send(signed_answer(request, "done by " + id_));
    }

private:
    bool begins_endless()
    {
        return in_trouble_now() &&
               std::bernoulli_distribution{endless_share}(random_);
    }

    void send_endless(const connection& peer, const std::string& attempt)
    {
        const auto began = seconds_now();
        const std::string bytes(100'000, 'x');
        double sent = 0;
        peer.send(
            "HTTP/1.1 200 OK\r\nX-Waxwingvalve-Attempt-Id: " + attempt +
            "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nspoil\r\n5;");
        while (peer.send(bytes))
        {
            sent += static_cast<double>(bytes.size());
            sleep_until_s(began + sent / bytes_per_s);
        }
        out_.line(
            "endless answer to " + attempt + ": " + std::to_string(sent / 1e6) +
            " MB in " + std::to_string(seconds_now() - began) + " s");
    }

    deployment& world_;
    record& out_;
    std::string id_;
    std::mutex endless_;
    std::mt19937 random_;
};

} // namespace

int main(int argc, char** argv)
{
    read_arguments(argc, argv);
    record out{"review/3/record.txt"};
    deployment world{daemon_count};
    world.table().put(
        "op",
        "config",
        configuration(
            1,
            {{"/read/", "safe", "desk", route_timeout_ms},
             {"/book/", "unsafe", "desk", route_timeout_ms}}));
    std::vector<std::unique_ptr<endless_worker>> faulty;
    for (int i = 0; i < worker_count; ++i)
    {
        const worker_identity who{
            "i-" + std::to_string(i), "desk", std::string{main_zone}, 6};
        if (i >= faulty_workers || !with_trouble())
        {
            world.add_sound_worker(who, work);
            continue;
        }
        faulty.push_back(
            std::make_unique<endless_worker>(world, out, who.id, i + 1));
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
                            books ? "/book/1" : "/read/1",
                            id,
                            12'000)};
                });
        }};
    const auto own_ends = world.keep_running(load_until_s, out);
    callers.join();
    for (const auto& [name, count] : own_ends)
    {
        out.line(
            name + " exceeded its memory " + std::to_string(count) + " times");
    }
    out.line("answers: " + counts.text());
    world.end(fault_rule_broken(own_ends, daemon_count) ? 1 : 0);
}
