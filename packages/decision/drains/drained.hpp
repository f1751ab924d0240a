// What the accepted drain records say must get no new work.
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

struct drained
{
    std::set<base::endpoint> workers{};
    std::set<std::string, std::less<>> entries{};
    std::set<std::string, std::less<>> zones{};

    // By its own record or that of its zone.
    bool includes(const schema::worker& worker) const;
    bool includes_entry(std::string_view name, std::string_view zone) const;
};

drained drained_by(const records::configuration& in_force);

} // namespace waxwingvalve::decision::drains
