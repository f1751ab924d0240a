#include "decision/membership/sequence_guard.hpp"

namespace waxwingvalve::decision::membership
{

base::result<void> sequence_guard::admit(const schema::peer_message& message)
{
    const position here{message.incarnation, message.sequence};
    auto [found, first] = newest_positions_.try_emplace(message.sender, here);
    if (first)
    {
        return base::success();
    }
    if (here <= found->second)
    {
        return base::fail(base::result_code::message_outdated, message.sender);
    }
    found->second = here;
    return base::success();
}

} // namespace waxwingvalve::decision::membership
