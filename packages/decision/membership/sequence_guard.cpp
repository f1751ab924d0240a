#include "decision/membership/sequence_guard.hpp"

namespace waxwingvalve::decision::membership
{

base::result<void> sequence_guard::admit(const schema::peer_message& message)
{
    const position current{message.incarnation, message.sequence};
    auto [newest, inserted] =
        newest_positions_.try_emplace(message.sender, current);
    if (inserted)
    {
        return base::success();
    }
    if (current <= newest->second)
    {
        return base::fail(base::result_code::message_outdated, message.sender);
    }
    newest->second = current;
    return base::success();
}

} // namespace waxwingvalve::decision::membership
