// Carries one request to a worker or a peer and its answer back.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "daemon/figures.hpp"
#include "daemon/serving/answers.hpp"
#include "daemon/serving/job.hpp"
#include "daemon/serving/placement.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

class attempts
{
public:
    attempts(
        const schema::daemon_settings& settings,
        placement& places,
        figures& counts);

    // The upstream's whole answer, or one of the system's own that says
    // whether the request ran.
    boost::asio::awaitable<finished> run(job& work);

private:
    boost::asio::awaitable<finished> run_here(job& work, slot_hold hold);
    boost::asio::awaitable<finished> pass_on(
        job& work, const peer_target& peer);
    std::string next_attempt_id();

    const schema::daemon_settings& settings_;
    placement& places_;
    figures& counts_;
    std::uint64_t last_attempt_{0};
};

} // namespace waxwingvalve::daemon::serving
