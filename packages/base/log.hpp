// Logging by channel and level, one key=value line per event.
//
// A line is handed to a bounded ring of the logging thread and written to
// standard error by the log's own thread, so that no caller ever waits for a
// write. When the ring is full the line is dropped and counted; the count is
// logged later.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/log_line.hpp"

namespace waxwingvalve::base
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

enum class log_channel : std::uint8_t
{
    daemon,
    routing,
    serving,
    filings,
    records,
    membership,
    ownership,
    platform,
    link,
};

// Lines below `level` are not built into the ring.
void set_log_level(log_level level);
bool log_enabled(log_level level);

// Starts the writer thread on construction; writes what is left and joins it
// on destruction. Lines logged while no writer lives go straight to standard
// error. At most one lives at a time.
class log_writer
{
public:
    log_writer();
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
};

// The same without a thread, for a program of one event loop, which calls
// flush() every now and then. Lines go to standard output, which is set not
// to block: what it does not take stays in the bounded buffer.
class log_flusher
{
public:
    log_flusher();
    ~log_flusher();
    log_flusher(const log_flusher&) = delete;
    log_flusher& operator=(const log_flusher&) = delete;

    void flush();

private:
    std::string unwritten_;
    std::uint64_t reported_drops_{0};
};

// Lines dropped so far because the ring was full.
std::uint64_t log_lines_dropped();

// Adds time, level and channel to `line` and hands it over. Never blocks
// while a log_writer lives.
void write_log(log_level level, log_channel channel, log_line line);

// log_event(log_level::info, log_channel::routing, "decision", "entry", name)
// writes "... event=decision entry=name"; pairs of key and value follow.
template <class... Pairs>
void log_event(
    log_level level,
    log_channel channel,
    std::string_view event,
    const Pairs&... pairs);

namespace detail
{

inline void add_pairs(log_line&) {}

template <class Value, class... Rest>
void add_pairs(
    log_line& line,
    std::string_view key,
    const Value& value,
    const Rest&... rest)
{
    line.add(key, value);
    add_pairs(line, rest...);
}

} // namespace detail

template <class... Pairs>
void log_event(
    log_level level,
    log_channel channel,
    std::string_view event,
    const Pairs&... pairs)
{
    if (!log_enabled(level))
    {
        return;
    }
    log_line line;
    line.add("event", event);
    detail::add_pairs(line, pairs...);
    write_log(level, channel, std::move(line));
}

} // namespace waxwingvalve::base
