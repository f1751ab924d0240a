// What all requests of a daemon share.
#pragma once

#include <boost/asio/io_context.hpp>

#include "decision/drains/stop_admission.hpp"
#include "decision/limits/answer_sizes.hpp"
#include "front/body_memory.hpp"
#include "front/fleet_view.hpp"
#include "front/header_names.hpp"
#include "front/quota_exchange.hpp"
#include "front/request_metrics.hpp"
#include "front/upstream_pool.hpp"

namespace waxwingvalve::front
{

// State shared by all requests of a daemon.
struct serving_context
{
    boost::asio::io_context& loop;
    header_names fields;
    fleet_view& view;
    upstream_pool& pool;
    body_memory& memory;
    request_metrics& counts;
    decision::limits::answer_sizes answer_sizes{};
    decision::drains::stop_admission stop{};
    quota_exchange quota{loop, view, counts};
};

} // namespace waxwingvalve::front
