#include "soak/soak_store.hpp"

#include "soak/soak_accounts.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include <fmt/format.h>

#include "soak/soak_ledger.hpp"

namespace waxwingvalve::soak
{

using tests::store_fault;
using namespace std::chrono_literals;

namespace
{

// Three report intervals, as the daemons' settings have them by default.
constexpr std::chrono::milliseconds entry_lifetime{4'500};
constexpr int longest_rewrite_ms = 1'900;

std::string route(std::string_view prefix, std::string_view kind)
{
    return fmt::format(
        R"({{"entry_type":"routes","metadata":{{"name":"{0}"}},"spec":)"
        R"({{"host":"desk.example","prefix":"/{0}/","kind":"{1}",)"
        R"("timeout":"2000ms","target_latency":"300ms","priority":1,)"
        R"("service":"desk","max_attempts":2,"sticky":true}}}})",
        prefix,
        kind);
}

std::string configuration(int version)
{
    auto routes = route("safe", "safe") + ',' + route("unsafe", "unsafe");
    for (int i = 1; i <= version; ++i)
    {
        routes += ',' + route(fmt::format("c{}", i), "safe");
    }
    return fmt::format(
        R"({{"version":"r{}","resources":[{}{},{{"entry_type":"limits",)"
        R"("metadata":{{}},"spec":{{"max_header_bytes":16384,)"
        R"("max_body_bytes":67108864,"header_timeout":"3s",)"
        R"("idle_timeout":"15s"}}}}]}})",
        version,
        routes,
        account_entries());
}

} // namespace

soak_store::soak_store(boost::asio::io_context& loop, std::uint64_t seed)
    : loop_{loop}, random_{seed}, fake_{loop}
{
}

std::chrono::milliseconds soak_store::draw(int least, int most)
{
    return std::chrono::milliseconds{
        std::uniform_int_distribution<int>{least, most}(random_)};
}

void soak_store::write_next_configuration()
{
    ++configuration_;
    write({"op", "config"}, configuration(configuration_));
}

void soak_store::write_worker(const std::string& id, const std::string& entry)
{
    write({"servers", id}, entry);
}

void soak_store::write(const row_name& row, std::string value)
{
    wanted_[row] = std::move(value);
    if (!away_)
    {
        acknowledge(row, wanted_[row]);
    }
}

void soak_store::acknowledge(const row_name& row, const std::string& value)
{
    fake_.put(row.first, row.second, value);
    if (row.first == "op")
    {
        acknowledged_.emplace(configuration_, base::monotonic_clock::now());
    }
}

// A row that the store lost, or refused while it was away.
void soak_store::write_again(const row_name& row)
{
    const auto wanted = wanted_.find(row);
    const auto present = fake_.values(row.first);
    const auto stored = present.find(row.second);
    const bool lost =
        wanted != wanted_.end() &&
        (stored == present.end() || stored->second != wanted->second);
    if (lost && !away_)
    {
        acknowledge(row, wanted->second);
    }
}

void soak_store::forget_worker(const std::string& id)
{
    wanted_.erase({"servers", id});
    drop_later(id);
}

void soak_store::drop_later(const std::string& worker)
{
    later(
        loop_,
        entry_lifetime,
        [this, worker]
        {
            if (!wanted_.contains({"servers", worker}) &&
                fake_.values("servers").contains(worker))
            {
                fake_.remove("servers", worker);
            }
        });
}

void soak_store::set_fault(store_fault fault, std::chrono::milliseconds time)
{
    const auto now = base::monotonic_clock::now();
    fake_.set_fault(fault);
    fault_until_ = std::max(fault_until_, now + time);
    disturbed_until_ = std::max(disturbed_until_, fault_until_);
    // A fault that overlaps with a longer one must not end it.
    later(
        loop_,
        time,
        [this]
        {
            if (base::monotonic_clock::now() >= fault_until_)
            {
                fake_.set_fault(store_fault::none);
            }
        });
}

void soak_store::disturb()
{
    constexpr std::array faults{
        store_fault::unavailable,
        store_fault::too_many_requests,
        store_fault::connection_closed,
        store_fault::no_response,
        store_fault::history_gone,
        store_fault::oversized};
    std::uniform_int_distribution<std::size_t> pick{0, faults.size() - 1};
    set_fault(faults.at(pick(random_)), draw(300, 2'500));
}

void soak_store::lose_writes()
{
    if (restoring_)
    {
        return;
    }
    restoring_ = true;
    fake_.keep_copy();
    const bool again = random_() % 2 == 0;
    later(loop_, draw(1'000, 4'000), [this, again] { go_away(again); });
}

void soak_store::go_away(bool again)
{
    if (faults_over_ || away_)
    {
        return;
    }
    away_ = true;
    const auto time = draw(100, 800);
    set_fault(store_fault::unavailable, time);
    later(loop_, time, [this, again] { come_back(again); });
}

void soak_store::come_back(bool again)
{
    if (!away_)
    {
        return;
    }
    away_ = false;
    ++restores_;
    fake_.restore();
    disturbed_until_ = std::max(
        disturbed_until_,
        base::monotonic_clock::now() +
            std::chrono::milliseconds{longest_rewrite_ms});
    for (const auto& wanted : wanted_)
    {
        later(
            loop_,
            draw(0, longest_rewrite_ms),
            [this, row = wanted.first] { write_again(row); });
    }
    for (const auto& [worker, entry] : fake_.values("servers"))
    {
        drop_later(worker);
    }
    restoring_ = again;
    if (again)
    {
        later(loop_, draw(200, 2'500), [this] { go_away(false); });
    }
}

void soak_store::end_faults()
{
    faults_over_ = true;
    const auto now = base::monotonic_clock::now();
    fault_until_ = now;
    disturbed_until_ = std::min(
        disturbed_until_, now + std::chrono::milliseconds{longest_rewrite_ms});
    fake_.set_fault(store_fault::none);
    come_back(false);
}

int soak_store::due_configuration(base::instant at) const
{
    int due = 0;
    for (const auto& [version, acknowledged_at] : acknowledged_)
    {
        if (acknowledged_at + configuration_bound <= at)
        {
            due = version;
        }
    }
    return due;
}

bool soak_store::calm(base::instant at) const
{
    return at >= disturbed_until_ + contact_time;
}

} // namespace waxwingvalve::soak
