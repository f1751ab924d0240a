#include "decision/steering/worker_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace waxwingvalve::decision::steering
{

namespace
{

bool is_lost_contact(ejection_reason reason)
{
    return reason == ejection_reason::refused ||
           reason == ejection_reason::silent;
}

} // namespace

std::uint64_t incarnation_digest(const worker_entry& entry)
{
    const auto started_at = static_cast<std::uint64_t>(entry.started_at_ms);
    const auto digest =
        XXH3_64bits_withSeed(entry.id.data(), entry.id.size(), started_at);
    return digest == 0 ? 1 : digest;
}

worker::worker(worker_entry entry, base::instant now)
    : entry_{std::move(entry)}, incarnation_{incarnation_digest(entry_)}
{
    apply_entry_cold_time(now);
}

void worker::update(worker_entry entry, base::instant now)
{
    const bool restarted = entry.started_at_ms != entry_.started_at_ms ||
                           entry.address != entry_.address;
    // Draining cannot be revoked within an incarnation.
    const bool draining = entry.draining || (!restarted && entry_.draining);
    entry_ = std::move(entry);
    entry_.draining = draining;
    incarnation_ = incarnation_digest(entry_);
    if (restarted)
    {
        reset_observations();
    }
    apply_entry_cold_time(now);
}

void worker::reset_observations()
{
    other_load_ = 0;
    reported_at_ = {};
    cold_time_.begin_again();
    failure_share_ = 0;
    refused_alone_until_ = {};
    silent_alone_until_ = {};
    latest_answer_ = {};
    end_told_at_ = {};
    succeeded_at_ = {};
    end_ejection();
    probe_in_flight_ = false;
    backoff_ = {};
    oversized_ = {};
}

void worker::end_ejection()
{
    ejection_ = ejection_reason::none;
    ejected_until_ = {};
    consecutive_ejections_ = 0;
    on_probation_ = false;
}

void worker::listens_again(base::instant since, base::instant now)
{
    if (!is_lost_contact(ejection_) || since < lost_at_)
    {
        return;
    }
    auto& alone_until = ejection_ == ejection_reason::refused
                            ? refused_alone_until_
                            : silent_alone_until_;
    end_ejection();
    if (!cold(now))
    {
        alone_until = now + lost_alone_time;
    }
}

void worker::report(const load_report& load, base::instant now)
{
    const double total = load.running + load.waiting;
    other_load_ = std::max(0.0, total - in_flight_);
    reported_at_ = now;
}

void worker::apply_entry_cold_time(base::instant now)
{
    cold_time_.apply(
        {.source = cold_source::entry,
         .since = entry_.written_after,
         .until = now + entry_.cold_time_left},
        now);
}

void worker::record_answer(
    bool failed, double peer_failure_share, base::instant now)
{
    failure_share_ += failure_weight * ((failed ? 1.0 : 0.0) - failure_share_);
    probe_in_flight_ = false;
    if (!failed)
    {
        succeeded_at_ = now;
        end_ejection();
        return;
    }
    const double threshold =
        std::max(min_failure_share, peer_failure_factor * peer_failure_share);
    if (failure_share_ >= threshold || on_probation_)
    {
        eject(ejection_reason::failing, now);
    }
}

void worker::record_timeout(double peer_failure_share, base::instant now)
{
    if (on_probation_ || load(now) <= entry_.slots)
    {
        record_answer(true, peer_failure_share, now);
    }
}

void worker::eject(ejection_reason reason, base::instant now)
{
    probe_in_flight_ = false;
    lost_at_ = is_lost_contact(reason) ? now : lost_at_;
    if (now < ejected_until_)
    {
        return;
    }
    auto ejection_time = initial_ejection_time;
    for (std::uint32_t i = 0; i < consecutive_ejections_; ++i)
    {
        ejection_time = std::min(ejection_time * 2, max_ejection_time);
    }
    ++consecutive_ejections_;
    ejection_ = reason;
    ejected_until_ = now + ejection_time;
    on_probation_ = true;
}

double worker::load(base::instant now) const
{
    if (other_load_ <= 0)
    {
        return in_flight_;
    }
    const std::chrono::duration<double> age{now - reported_at_};
    return in_flight_ + other_load_ * std::exp(-(age / report_decay));
}

ejection_reason worker::ejection(base::instant now) const
{
    if (now < ejected_until_)
    {
        return ejection_;
    }
    return ejection_reason::none;
}

void worker_table::set_leaving(worker& one)
{
    const auto digest = incarnation_digest(one.entry());
    one.set_leaving();
    if (std::ranges::find(leaving_, digest) != leaving_.end())
    {
        return;
    }
    leaving_.push_back(digest);
    if (leaving_.size() > max_leaving)
    {
        leaving_.pop_front();
    }
}

entry_change worker_table::put(worker_entry entry, base::instant now)
{
    const bool left = std::ranges::find(leaving_, incarnation_digest(entry)) !=
                      leaving_.end();
    entry.draining = entry.draining || left;
    const auto found = by_id_.find(entry.id);
    if (found == by_id_.end())
    {
        auto new_worker = std::make_shared<worker>(std::move(entry), now);
        by_id_.emplace(new_worker->entry().id, new_worker);
        index(new_worker);
        return entry_change::added;
    }
    auto& known = found->second;
    const auto old_entry = known->entry();
    const bool restarted = old_entry.started_at_ms != entry.started_at_ms ||
                           old_entry.address != entry.address;
    const bool service_changed = old_entry.service != entry.service;
    const bool needs_reindex = service_changed || old_entry.zone != entry.zone;
    if (needs_reindex)
    {
        unindex(known);
    }
    known->update(std::move(entry), now);
    if (needs_reindex)
    {
        index(known);
    }
    if (restarted || service_changed)
    {
        return entry_change::restarted;
    }
    return old_entry.draining != known->entry().draining ? entry_change::changed
                                                         : entry_change::none;
}

bool worker_table::remove(const std::string& id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
    {
        return false;
    }
    unindex(found->second);
    by_id_.erase(found);
    return true;
}

worker_table::worker_ptr worker_table::find(const std::string& id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

const worker_table::zone_workers& worker_table::of_service(
    std::string_view service) const
{
    static const zone_workers none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

void worker_table::index(const worker_ptr& one)
{
    by_service_[one->entry().service][one->entry().zone].push_back(one);
}

void worker_table::unindex(const worker_ptr& one)
{
    auto& zones = by_service_[one->entry().service];
    const auto zone = zones.find(one->entry().zone);
    std::erase(zone->second, one);
    if (zone->second.empty())
    {
        zones.erase(zone);
    }
}

} // namespace waxwingvalve::decision::steering
