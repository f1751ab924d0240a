// Drops messages that are older than one already seen of the same sender.
//
// A restarted daemon has a higher incarnation: from its first message on,
// nothing of the earlier process is taken any more.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/result.hpp"
#include "schema/messages.hpp"

namespace waxwingvalve::decision::membership
{

class sequence_guard
{
public:
    // Errors: message_outdated for an older or a repeated message.
    base::result<void> admit(const schema::peer_message& message);

private:
    struct position
    {
        std::uint64_t incarnation{};
        std::uint64_t sequence{};

        friend auto operator<=>(const position&, const position&) = default;
    };

    std::map<std::string, position> newest_;
};

} // namespace waxwingvalve::decision::membership
