// Rejects messages that are not newer than the last one from the same sender.
//
// Messages are ordered by incarnation, then by sequence number. A restarted
// daemon has a higher incarnation, so its first message makes all messages of
// the earlier process outdated.
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
    // Records the position of an accepted message.
    // Errors: message_outdated if the message is older or a duplicate.
    base::result<void> admit(const schema::peer_message& message);

private:
    struct position
    {
        std::uint64_t incarnation{};
        std::uint64_t sequence{};

        friend auto operator<=>(const position&, const position&) = default;
    };

    std::map<std::string, position> newest_positions_;
};

} // namespace waxwingvalve::decision::membership
