#include "front/body_memory.hpp"

#include <algorithm>

namespace waxwingvalve::front
{

namespace
{

// Of the memory for bodies.
constexpr std::uint64_t answer_parts = 8;
// Twice an answer: one that grows is moved into larger memory.
constexpr std::uint64_t worker_parts = 4;
constexpr std::uint64_t caller_parts = 4;
// Of the memory for answers.
constexpr std::uint64_t kept_parts = 4;
constexpr std::uint64_t usual_answer_parts = 1024;
// Holds the answers of most requests; more is taken when it comes.
constexpr std::uint64_t most_usual_answer = 32ULL * 1024;

std::uint64_t set_or_share(std::uint64_t set, std::uint64_t share)
{
    return set > 0 ? set : share;
}

} // namespace

body_memory::body_memory(const memory_options& options)
    : process{options.process}, most_for_answer{set_or_share(
                                    options.answer_bytes,
                                    options.body_bytes / answer_parts)},
      usual_answer{std::min(
          options.body_bytes / 2 / usual_answer_parts, most_usual_answer)},
      requests{options.body_bytes / 2}, answers{options.body_bytes / 2},
      answers_of_workers{
          answers,
          set_or_share(options.worker_bytes, options.body_bytes / worker_parts),
          set_or_share(
              options.worker_bytes, options.body_bytes / worker_parts) /
              kept_parts},
      requests_of_callers{
          requests,
          set_or_share(
              options.caller_bytes, options.body_bytes / caller_parts)},
      answers_of_callers{
          answers,
          set_or_share(options.caller_bytes, options.body_bytes / caller_parts)}
{
    answers.keep_back(answers.limit() / kept_parts);
}

} // namespace waxwingvalve::front
