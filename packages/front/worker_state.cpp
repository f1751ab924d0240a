#include "front/worker_state.hpp"

#include "front/request_fields.hpp"

namespace waxwingvalve::front
{

void record_worker_state(
    serving_context& context,
    steering::worker& worker,
    const worker_answer& answer,
    base::instant now)
{
    const auto& names = context.fields;
    // Another incarnation may have got its id and address meanwhile, which
    // knows nothing of what this one says.
    if (worker.incarnation() != answer.incarnation)
    {
        return;
    }
    if (const auto load =
            parse_load(header_value(answer.fields, names.worker_load)))
    {
        context.view.record_load(worker, *load, now);
    }
    const auto cold =
        parse_milliseconds(header_value(answer.fields, names.cold_remaining));
    if (cold)
    {
        context.view.record_cold_time(
            worker,
            {.source = steering::cold_source::answer,
             .since = answer.sent_at,
             .until = now + *cold},
            now);
    }
    if (header_value(answer.fields, names.worker_leaving) == "1")
    {
        context.view.record_leaving(worker, answer.incarnation);
    }
}

} // namespace waxwingvalve::front
