#include "daemon/operators_duty.hpp"

#include <boost/json.hpp>

#include "daemon/metrics_page.hpp"
#include "daemon/serving/answers.hpp"

namespace waxwingvalve::daemon
{

using base::result_code;
using serving::make_refusal;
using serving::outcome;

namespace
{

boost::asio::awaitable<std::optional<net::http_response>> no_route(
    net::http_request)
{
    co_return std::nullopt;
}

std::string to_status(
    const schema::daemon_settings& settings, const figures& counts)
{
    return boost::json::serialize(boost::json::object{
        {"name", settings.name},
        {"region", settings.region},
        {"zone", settings.zone},
        {"ready", counts.revision.load() > 0 && !counts.leaving.load()},
        {"leaving", counts.leaving.load()},
        {"revision", counts.revision.load()},
        {"look_ups", counts.look_ups.load()},
        {"requests", counts.requests.load()},
        {"refused", counts.refused.load()},
        {"passed_to_peers", counts.passed_to_peers.load()},
        {"connections", counts.connections.load()},
        {"running", counts.running.load()},
        {"owned_workers", counts.owned_workers.load()}});
}

base::error why_not_ready(const figures& counts)
{
    if (counts.leaving.load())
    {
        return {result_code::leaving};
    }
    return {
        result_code::no_configuration,
        counts.sources_asked.load() ? "neither the platform nor a peer has one"
                                    : "asking the platform and peers"};
}

} // namespace

operators_duty::operators_duty(
    const schema::daemon_settings& settings, const figures& counts)
    : context_{1}, settings_{settings}, counts_{counts},
      server_{
          context_,
          net::server_limits{},
          {.fast = [this](const net::http_request& in) { return answer(in); },
           .route = no_route,
           .refuse = [](const base::error& reason)
           { return make_refusal(reason, outcome::not_run); }}}
{
}

operators_duty::~operators_duty()
{
    stop();
}

base::result<void> operators_duty::start()
{
    BOOST_OUTCOME_TRY(server_.listen(settings_.operator_address));
    thread_ = std::thread{[this] { context_.run(); }};
    return base::success();
}

void operators_duty::stop()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::optional<net::http_response> operators_duty::answer(
    const net::http_request& in) const
{
    const auto path = net::path_of(in.target);
    if (path == "/healthz")
    {
        const bool ready =
            counts_.revision.load() > 0 && !counts_.leaving.load();
        return ready ? serving::make_json(R"({"ready":true})")
                     : make_refusal(why_not_ready(counts_), outcome::not_run);
    }
    if (path == "/metrics")
    {
        net::http_response out;
        out.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
        out.body = metrics_page(counts_);
        return out;
    }
    if (path == "/v1/status")
    {
        return serving::make_json(to_status(settings_, counts_));
    }
    return make_refusal(
        {result_code::path_unknown, std::string{path}}, outcome::not_run);
}

} // namespace waxwingvalve::daemon
