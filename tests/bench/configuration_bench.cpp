// Memory and time of a configuration as it grows: services of 100 workers
// each, read from their JSON as a daemon reads them.
#include <chrono>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>

#include "base/time.hpp"
#include "decision/records/configuration.hpp"

namespace
{

using namespace waxwingvalve;
using decision::records::accepted_change;

constexpr int workers_each = 100;

accepted_change make_service(int number)
{
    std::string workers;
    for (int worker = 0; worker < workers_each; ++worker)
    {
        workers += fmt::format(
            R"({}{{"address":"127.{}.{}.{}:9000","zone":"zone-{}","slots":4}})",
            worker == 0 ? "" : ",",
            number / 250,
            number % 250,
            worker + 1,
            worker % 17);
    }
    const auto name = fmt::format("service-{}", number);
    accepted_change out;
    out.revision = static_cast<std::uint64_t>(number) + 1;
    out.key = "service/" + name;
    out.record_json = fmt::format(
        R"({{"kind":"service","schema_version":2,"name":"{}",)"
        R"("workers":[{}]}})",
        name,
        workers);
    return out;
}

} // namespace

int main()
{
    fmt::print("workers   JSON bytes  memory bytes  bytes/worker  load ms\n");
    for (const int services : {1, 10, 50, 200})
    {
        std::vector<accepted_change> rows;
        std::size_t json_bytes = 0;
        for (int number = 0; number < services; ++number)
        {
            rows.push_back(make_service(number));
            json_bytes += rows.back().record_json.size();
        }
        const auto before = mallinfo2().uordblks;
        const auto began = base::monotonic_clock::now();
        const auto loaded =
            decision::records::apply_changes({}, rows.back().revision, rows);
        const auto took = base::monotonic_clock::now() - began;
        const auto memory = mallinfo2().uordblks - before;
        const auto workers = services * workers_each;
        fmt::print(
            "{:>7}  {:>11}  {:>12}  {:>12.0f}  {:>7}\n",
            workers,
            json_bytes,
            memory,
            static_cast<double>(memory) / workers,
            base::to_milliseconds(took));
        if (!loaded.unreadable.empty())
        {
            return 1;
        }
    }
}
