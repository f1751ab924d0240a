#include "base/log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/ring.hpp"

namespace waxwingvalve::base
{
namespace
{

constexpr std::size_t ring_lines = 4096;
// A longer line is cut: names in it come from outside.
constexpr std::size_t max_line_bytes = 4 * 1024;
// The writer sleeps this long when every ring is empty: long enough to cost
// nothing, short enough that an operator who tails the log sees no lag.
constexpr std::chrono::milliseconds idle_wait{5};

// One ring for each thread that logs: a ring joins exactly two threads.
using line_ring = ring<std::string>;

struct log_state
{
    // Guards the list of rings, not the rings: a thread takes it once, with
    // its first line, and the writer once a round.
    std::mutex rings_mutex;
    std::vector<std::shared_ptr<line_ring>> rings;
    std::atomic<bool> writer_lives{false};
    std::atomic<bool> stop{false};
    std::atomic<log_level> level{log_level::info};
    std::atomic<std::uint64_t> dropped{0};
    std::thread thread;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

line_ring& own_ring()
{
    thread_local const auto own = []
    {
        auto made = std::make_shared<line_ring>(ring_lines);
        const std::scoped_lock lock{state().rings_mutex};
        state().rings.push_back(made);
        return made;
    }();
    return *own;
}

std::vector<std::shared_ptr<line_ring>> all_rings()
{
    const std::scoped_lock lock{state().rings_mutex};
    return state().rings;
}

std::string_view name(log_level level)
{
    constexpr std::array names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::string_view name(log_channel channel)
{
    constexpr std::array names{
        "daemon",
        "routing",
        "serving",
        "filings",
        "records",
        "membership",
        "ownership",
        "platform",
        "link"};
    return names.at(static_cast<std::size_t>(channel));
}

void put(const std::string& text)
{
    std::fwrite(text.data(), 1, text.size(), stderr);
}

std::string take_lines()
{
    std::string batch;
    for (const auto& lines : all_rings())
    {
        while (auto line = lines->pop())
        {
            batch += *line;
        }
    }
    return batch;
}

bool write_some()
{
    const auto batch = take_lines();
    put(batch);
    return !batch.empty();
}

void report_drops(std::uint64_t& reported)
{
    const auto dropped = state().dropped.load();
    if (dropped == reported)
    {
        return;
    }
    put(fmt::format("event=log_lines_dropped total={}\n", dropped));
    reported = dropped;
}

void run_writer()
{
    std::uint64_t reported = state().dropped.load();
    while (!state().stop.load())
    {
        if (!write_some())
        {
            std::this_thread::sleep_for(idle_wait);
        }
        report_drops(reported);
    }
    write_some();
    report_drops(reported);
}

} // namespace

void set_log_level(log_level level)
{
    state().level.store(level);
}

bool log_enabled(log_level level)
{
    return level >= state().level.load(std::memory_order_relaxed);
}

std::uint64_t log_lines_dropped()
{
    return state().dropped.load();
}

log_writer::log_writer()
{
    state().stop.store(false);
    state().thread = std::thread{run_writer};
    state().writer_lives.store(true);
}

log_writer::~log_writer()
{
    state().writer_lives.store(false);
    state().stop.store(true);
    state().thread.join();
}

log_flusher::log_flusher()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    state().writer_lives.store(true);
}

log_flusher::~log_flusher()
{
    flush();
    state().writer_lives.store(false);
}

void log_flusher::flush()
{
    // Lines wait in the ring, which drops and counts, while the reader of
    // standard output is behind.
    constexpr std::size_t most_unwritten = 256 * 1024;
    if (unwritten_.size() < most_unwritten)
    {
        unwritten_ += take_lines();
    }
    const auto dropped = state().dropped.load();
    if (dropped != reported_drops_)
    {
        unwritten_ +=
            fmt::format("event=log_lines_dropped total={}\n", dropped);
        reported_drops_ = dropped;
    }
    if (unwritten_.empty())
    {
        return;
    }
    const auto written =
        ::write(STDOUT_FILENO, unwritten_.data(), unwritten_.size());
    if (written > 0)
    {
        unwritten_.erase(0, static_cast<std::size_t>(written));
    }
}

void write_log(log_level level, log_channel channel, log_line line)
{
    using namespace std::chrono;
    const auto since_epoch = system_clock::now().time_since_epoch();
    const auto stamp = duration_cast<milliseconds>(since_epoch).count();
    auto text = fmt::format(
        "time_ms={} level={} channel={} {}\n",
        stamp,
        name(level),
        name(channel),
        std::move(line).take());
    if (text.size() > max_line_bytes)
    {
        text.resize(max_line_bytes);
        text += "...\n";
    }
    if (!state().writer_lives.load(std::memory_order_relaxed))
    {
        put(text);
        return;
    }
    // A full ring drops the line: while standard error is stuck, no caller
    // waits and nothing grows.
    if (!own_ring().push(std::move(text)))
    {
        state().dropped.fetch_add(1);
    }
}

} // namespace waxwingvalve::base
