// Bytes that a faulty peer could send: valid ones that are changed, cut short,
// repeated or go on without end, in pieces of any size.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingvalve::tests
{

class byte_mutator
{
public:
    explicit byte_mutator(std::uint64_t seed) : random_{seed} {}

    // `valid` with up to `max_changes` changes; 0 changes now and then.
    std::string mutate(std::string_view valid, int max_changes = 5);

    // The bytes in pieces of 1 to 64, or now and then in one.
    std::vector<std::string_view> cut(std::string_view bytes);

    // Uniform from 0 to `below` - 1; 0 for 0.
    std::size_t number(std::size_t below);

private:
    void change(std::string& bytes);

    std::mt19937_64 random_;
};

} // namespace waxwingvalve::tests
