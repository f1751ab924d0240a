// Tells a worker that sends answers over their bounds again and again from one
// that did so once.
//
// Load pattern: a faulty worker spoils some of its answers with bytes without
// end. Each costs the daemon memory and its caller an answer.
#pragma once

#include <chrono>
#include <optional>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class oversized_answers
{
public:
    // For how long one is remembered.
    static constexpr base::duration memory{std::chrono::seconds{30}};
    // For how long the worker gets no requests after a further one.
    static constexpr base::duration exclusion{std::chrono::seconds{5}};

    // Returns true if the worker is to be left out now.
    bool record(base::instant now)
    {
        const bool again = last_ && now - *last_ < memory;
        last_ = now;
        return again;
    }

private:
    std::optional<base::instant> last_{};
};

} // namespace waxwingvalve::decision::steering
