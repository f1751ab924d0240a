// Shows that daemons and operators' commands of this build work on what an
// earlier build wrote and beside its processes: mixed_builds OLD_BUILD.
//
// All daemons start as the old build and are replaced one by one, so that
// both builds share one membership, one store and the workers of each zone.
// At the end one daemon of the old build joins those of the new one.
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

#include <boost/json.hpp>

#include "harness/cluster.hpp"

namespace
{

using namespace waxwingvalve;

constexpr std::string_view shift_record = R"({"kind":"shift",
"schema_version":2,"name":"move","service":"seam-registry",
"from_zones":["addis-a"],"to_zones":["gondar-a"],"percent":20,
"step_percent":5,"step_interval_ms":10000})";
constexpr std::string_view catalogue = "lacquer-catalogue";

class mixed_builds
{
public:
    explicit mixed_builds(std::filesystem::path old_build)
        : old_build_{std::move(old_build)}
    {
    }

    // The number of checks that failed.
    int run();

private:
    void check(bool holds, const std::string& text);
    void start_old();
    void replace_daemons();
    void replace_one(const harness::entry_vm& entry);
    void check_operators();
    void check_keys();
    void check_serving(const std::string& when);
    std::string propose_shift(const std::string& author);
    std::string new_key(const harness::entry_vm& entry);
    unsigned post(const harness::entry_vm& entry, const std::string& key);
    std::size_t runs_of(const std::string& key);

    std::filesystem::path old_build_;
    std::filesystem::path new_build_{WAXWINGVALVE_BINARY_DIR};
    harness::cluster cluster_{harness::authority()};
    std::string proposal_{};
    std::string history_{};
    std::string key_of_old_daemon_{};
    int failed_{0};
};

void mixed_builds::check(bool holds, const std::string& text)
{
    std::cout << (holds ? "ok      " : "FAILED  ") << text << std::endl;
    failed_ += holds ? 0 : 1;
}

void mixed_builds::start_old()
{
    cluster_.use_build(old_build_);
    cluster_.start_platform();
    cluster_.start_upstreams();
    cluster_.start_daemons();
    check(cluster_.accept_layout(), "old build: records accepted, in force");
    proposal_ = propose_shift("selam");
    check(!proposal_.empty(), "old build: a proposal is left open");
    history_ = cluster_.operate("selam", {"history"}).output;
    check(!history_.empty(), "old build: history");
    const auto& first = cluster_.entries().front();
    check(post(first, "claimed-by-old") == 200, "old build: a key claimed");
    key_of_old_daemon_ = new_key(cluster_.entries().back());
    check(
        post(cluster_.entries().back(), key_of_old_daemon_) == 200,
        "old build: a key remembered by a daemon");
}

std::string mixed_builds::propose_shift(const std::string& author)
{
    const auto path = cluster_.folder() / "shift.json";
    std::ofstream{path} << shift_record;
    const auto done = cluster_.operate(author, {"propose", path.string()});
    return done.exit_status == 0 ? done.output.substr(0, done.output.find(' '))
                                 : std::string{};
}

std::string mixed_builds::new_key(const harness::entry_vm& entry)
{
    const auto list = cluster_.get_json(
        entry.caller_address, "/v1/entries?service=seam-registry");
    const auto own = to_string(entry.caller_address);
    const auto* rows = list.if_contains("entries");
    if (rows == nullptr)
    {
        return {};
    }
    for (const auto& row : rows->as_array())
    {
        if (row.at("address").as_string() == own)
        {
            return boost::json::value_to<std::string>(row.at("key_prefix")) +
                   "repair-1";
        }
    }
    return {};
}

unsigned mixed_builds::post(
    const harness::entry_vm& entry, const std::string& key)
{
    const auto response = cluster_.call(
        entry.caller_address,
        {.method = "POST",
         .target = "/filings",
         .fields =
             {{"Waxwing-Service", "seam-registry"}, {"Idempotency-Key", key}},
         .body = R"({"vessel":"jar-7"})"});
    return response ? response.value().status : 0;
}

std::size_t mixed_builds::runs_of(const std::string& key)
{
    std::size_t count = 0;
    for (const auto& worker : cluster_.workers())
    {
        const auto state = cluster_.get_json(worker.address, "/control");
        const auto* runs = state.if_contains("runs");
        if (runs == nullptr)
        {
            continue;
        }
        count += static_cast<std::size_t>(std::ranges::count_if(
            runs->as_array(),
            [&](const boost::json::value& run)
            { return run.at("key").as_string() == key; }));
    }
    return count;
}

// Every daemon answers for its own workers and for those of others.
void mixed_builds::check_serving(const std::string& when)
{
    check(cluster_.wait_for_owners(), when + ": every worker has one owner");
    const auto listed = [&](const harness::entry_vm& entry)
    {
        const auto list = cluster_.get_json(
            entry.caller_address, "/v1/entries?service=seam-registry");
        const auto* rows = list.if_contains("entries");
        return rows == nullptr ? 0 : rows->as_array().size();
    };
    check(
        harness::wait_until(
            [&]
            {
                return std::ranges::all_of(
                    cluster_.entries(),
                    [&](const harness::entry_vm& entry)
                    { return listed(entry) == cluster_.entries().size(); });
            }),
        when + ": every daemon lists all daemons");
    for (const auto& entry : cluster_.entries())
    {
        for (const auto service :
             {std::string_view{"seam-registry"}, catalogue})
        {
            const auto response = cluster_.call(
                entry.caller_address,
                {.method = "GET",
                 .target = "/vessels/jar-7",
                 .fields = {{"Waxwing-Service", std::string{service}}}});
            check(
                response.has_value() && response.value().status == 200,
                when + ": " + entry.name + " serves " + std::string{service});
        }
    }
}

// What the old client wrote is read, reviewed and accepted by the new one.
void mixed_builds::check_operators()
{
    cluster_.use_build(new_build_);
    check(
        cluster_.operate("selam", {"history"}).output == history_,
        "new client: the same history");
    check(
        cluster_.operate("dawit", {"diff", proposal_}).exit_status == 0,
        "new client: diff of the old client's proposal");
    check(
        cluster_.operate("dawit", {"review", proposal_}).exit_status == 0,
        "new client: review of the old client's proposal");
    const auto accepted = cluster_.operate("dawit", {"accept", proposal_});
    check(
        accepted.exit_status == 0,
        "new client: accept of the old client's proposal");
    check(
        cluster_.operate("selam", {"show", "shift/move"}).exit_status == 0,
        "new client: the shift is in force");
    constexpr std::uint64_t shift_revision = 4;
    check(
        cluster_.wait_for_revision(shift_revision),
        "daemons of both builds adopt the revision");
    const auto written = propose_shift("dawit");
    cluster_.use_build(old_build_);
    check(
        cluster_.operate("selam", {"reject", written}).exit_status == 0,
        "old client: reject of the new client's proposal");
    cluster_.use_build(new_build_);
}

// Repeats run nothing, whichever build claimed or remembers the key.
void mixed_builds::check_keys()
{
    const auto& replaced = cluster_.entries().front();
    const auto& old_daemon = cluster_.entries().back();
    check(
        post(replaced, "claimed-by-old") == 200 &&
            runs_of("claimed-by-old") == 1,
        "new daemon: a key claimed by an old one runs nothing again");
    check(
        post(replaced, key_of_old_daemon_) == 200 &&
            runs_of(key_of_old_daemon_) == 1,
        "new daemon: an old daemon that remembers the key is asked");
    const auto key = new_key(replaced);
    check(
        post(replaced, key) == 200 && post(old_daemon, key) == 200 &&
            runs_of(key) == 1,
        "old daemon: a new daemon that remembers the key is asked");
    check(
        post(replaced, "claimed-by-new") == 200 &&
            post(old_daemon, "claimed-by-new") == 200 &&
            runs_of("claimed-by-new") == 1,
        "old daemon: a key claimed by a new one runs nothing again");
}

void mixed_builds::replace_one(const harness::entry_vm& entry)
{
    cluster_.daemon(entry.name).terminate();
    check(
        cluster_.daemon(entry.name).wait() == 0,
        entry.name + " stopped as planned");
    cluster_.start_daemon(entry.name);
    check(
        harness::wait_until(
            [&]
            {
                const auto status =
                    cluster_.get_json(entry.operator_address, "/v1/status");
                const auto* ready = status.if_contains("ready");
                return ready != nullptr && ready->as_bool();
            }),
        entry.name + " replaced and ready");
}

// Every second daemon first, so that each zone of two has one of each build.
void mixed_builds::replace_daemons()
{
    cluster_.use_build(new_build_);
    const auto& entries = cluster_.entries();
    for (std::size_t i = 0; i + 1 < entries.size(); i += 2)
    {
        replace_one(entries[i]);
    }
    check_serving("half replaced");
    check_operators();
    check_keys();
    for (std::size_t i = 1; i < entries.size(); i += 2)
    {
        replace_one(entries[i]);
    }
    replace_one(entries.back());
    check_serving("all replaced");
    check(
        post(entries.front(), key_of_old_daemon_) != 200 &&
            runs_of(key_of_old_daemon_) == 1,
        "a key of a daemon that is gone never runs again");
}

int mixed_builds::run()
{
    start_old();
    check_serving("old build");
    replace_daemons();
    cluster_.use_build(old_build_);
    replace_one(cluster_.entries().front());
    check_serving("one daemon of the old build again");
    std::cout << failed_ << " checks failed" << std::endl;
    return failed_ == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int count, char** words)
{
    if (count != 2)
    {
        std::cerr << "usage: mixed_builds OLD_BUILD\n";
        return 2;
    }
    return mixed_builds{std::filesystem::absolute(words[1])}.run();
}
