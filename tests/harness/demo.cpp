// The demo: the whole path in the Authority's layout, step by step, with the
// log line of each routing decision.
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

#include <boost/json.hpp>

#include "harness/cluster.hpp"

namespace
{

using namespace waxwingvalve;

void say(const std::string& text)
{
    std::cout << "\n== " << text << std::endl;
}

void print_decisions(const harness::cluster& cluster)
{
    // The daemons' log threads write within a few milliseconds.
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    for (const auto& entry : cluster.entries())
    {
        std::ifstream log{cluster.log_of(entry.name)};
        for (std::string line; std::getline(log, line);)
        {
            if (line.find("event=decision") != std::string::npos)
            {
                std::cout << "   [" << entry.name << "] " << line << '\n';
            }
        }
    }
}

bool print(const net::exchange_result& answer)
{
    if (!answer)
    {
        std::cout << "   failed: " << to_string(answer.error().reason) << '\n';
        return false;
    }
    std::cout << "   " << answer.value().status << ' ' << answer.value().body
              << std::endl;
    return answer.value().status == 200;
}

} // namespace

int main()
{
    harness::cluster cluster{harness::authority()};
    say("start the platform, 32 upstream workers and 11 daemons");
    cluster.start_platform();
    cluster.start_upstreams();
    cluster.start_daemons();

    say("selam proposes, dawit reviews and accepts three records");
    if (!cluster.accept_layout())
    {
        std::cout << "   the records did not come in force\n";
        return EXIT_FAILURE;
    }
    std::cout << cluster.operate("selam", {"status"}).output;

    say("a caller in gondar asks which entry to use");
    const auto& asked = cluster.entries().at(4).caller_address;
    const auto entries = cluster.call(
        asked,
        {.method = "GET",
         .target = "/v1/entries?service=seam-registry&client=127.0.0.1"});
    bool well = print(entries);
    if (!well)
    {
        return EXIT_FAILURE;
    }
    const auto list = boost::json::parse(entries.value().body);
    const auto& first = list.at("entries").at(0);
    const auto named = base::parse_endpoint(
        boost::json::value_to<std::string>(first.at("address")));
    std::string key{"jar-1904-repair-7"};
    if (const auto* prefix = first.as_object().if_contains("key_prefix"))
    {
        key = boost::json::value_to<std::string>(*prefix) + key;
    }

    say("a look-up through the entry named");
    well &= print(cluster.call(
        named.value(),
        {.method = "GET",
         .target = "/vessels/jar-1904",
         .fields = {{"Waxwing-Service", "seam-registry"}}}));

    say("a filing, once");
    well &= print(cluster.call(
        named.value(),
        {.method = "POST",
         .target = "/filings",
         .fields =
             {{"Waxwing-Service", "seam-registry"}, {"Idempotency-Key", key}},
         .body = R"({"vessel":"jar-1904","gold_grams":3})"}));

    say("the routing decisions in the daemons' logs");
    print_decisions(cluster);

    say("stop everything");
    for (const auto& entry : cluster.entries())
    {
        cluster.daemon(entry.name).terminate();
    }
    for (const auto& entry : cluster.entries())
    {
        well &= cluster.daemon(entry.name).wait() == 0;
    }
    std::cout << (well ? "   done\n" : "   something failed\n");
    return well ? EXIT_SUCCESS : EXIT_FAILURE;
}
