#include "base/latency.hpp"

// Boost.Accumulators copies a member of its quantile that it sets only later.
#if !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <array>
#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace waxwingvalve::base
{
namespace
{

namespace accumulators = boost::accumulators;
using std::chrono::microseconds;

constexpr std::array probabilities{0.5, 0.99, 0.999};

using accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<
        accumulators::tag::count,
        accumulators::tag::max,
        accumulators::tag::extended_p_square_quantile>>;

accumulator make_accumulator()
{
    return accumulator{
        accumulators::tag::extended_p_square::probabilities = probabilities};
}

microseconds to_microseconds(double value)
{
    return microseconds{static_cast<std::int64_t>(value)};
}

latency_summary summarize(const accumulator& window)
{
    latency_summary out;
    if (accumulators::count(window) == 0)
    {
        return out;
    }
    const auto quantile = [&](double probability)
    {
        return to_microseconds(accumulators::quantile(
            window, accumulators::quantile_probability = probability));
    };
    out.p50 = quantile(probabilities[0]);
    out.p99 = quantile(probabilities[1]);
    out.p999 = quantile(probabilities[2]);
    out.highest = to_microseconds(accumulators::max(window));
    return out;
}

} // namespace

struct latency_window::state
{
    accumulator running{make_accumulator()};
    std::optional<instant> began{};
    std::optional<latency_summary> last_whole{};
    std::uint64_t count{0};
    microseconds sum{0};
};

latency_window::latency_window(duration length)
    : length_{length}, state_{std::make_unique<state>()}
{
}

latency_window::~latency_window() = default;

void latency_window::turn(instant now)
{
    if (!state_->began)
    {
        state_->began = now;
    }
    if (now - *state_->began < length_)
    {
        return;
    }
    state_->last_whole = summarize(state_->running);
    state_->running = make_accumulator();
    state_->began = now;
}

void latency_window::add(instant now, duration latency)
{
    turn(now);
    const auto micros = std::chrono::duration_cast<microseconds>(latency);
    state_->running(static_cast<double>(micros.count()));
    ++state_->count;
    state_->sum += micros;
}

latency_summary latency_window::summary(instant now)
{
    turn(now);
    auto out = state_->last_whole.value_or(summarize(state_->running));
    out.count = state_->count;
    out.sum = state_->sum;
    return out;
}

} // namespace waxwingvalve::base
