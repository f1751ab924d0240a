// Selects the service of a split route for each request.
//
// Smooth weighted round-robin: over any run of requests, each part's share
// stays within one request of its weight, so the split holds for a daemon with
// little traffic too. Each daemon begins at a random place of the round: in a
// large fleet each sees few requests, and all that began at the same place
// would give the smaller parts nothing.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decision/steering/configuration.hpp"

namespace waxwingvalve::decision::steering
{

class split_picker
{
public:
    explicit split_picker(std::uint64_t seed) : random_{seed} {}

    // Returns the service for the next request of `route`. Parts of weight 0
    // get none, unless all have it.
    const std::string& next(const route& route);

private:
    struct round
    {
        // The weights that the credits belong to.
        std::vector<split_part> parts{};
        std::vector<std::int64_t> credits{};
    };

    static std::size_t advance(round& current);
    round begin_round(const route& route);

    std::mt19937_64 random_;
    // By the route's name.
    std::map<std::string, round, std::less<>> rounds_;
};

} // namespace waxwingvalve::decision::steering
