// Workers, entries and zones that the accepted drain records exclude from new
// work.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "base/endpoint.hpp"
#include "decision/records/configuration.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::decision::drains
{

struct drain_set
{
    std::set<base::endpoint> workers{};
    std::set<std::string, std::less<>> entries{};
    std::set<std::string, std::less<>> zones{};

    // True if the worker or its zone is drained.
    bool contains_worker(const schema::worker& worker) const;
    // True if the entry or its zone is drained.
    bool contains_entry(std::string_view name, std::string_view zone) const;
};

// Collects the targets of all drain records.
drain_set collect_drains(const records::configuration& in_force);

} // namespace waxwingvalve::decision::drains
