// Interface of the platform's list of live and leaving VMs. The list is
// eventually consistent: it may still contain a VM that is gone and may lack
// a new one.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"

namespace waxwingvalve::store
{

enum class vm_role : std::uint8_t
{
    entry,
    upstream,
};

enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

struct vm
{
    std::string name{};
    // IP address without port.
    std::string address{};
    std::string zone{};
    vm_role role{};
    vm_state state{};
};

// Errors of read: platform_unreachable, platform_refused,
// platform_answer_invalid.
template <class T>
concept vm_list = requires(T list)
{
    {
        list.read()
        }
        -> std::same_as<boost::asio::awaitable<base::result<std::vector<vm>>>>;
};

} // namespace waxwingvalve::store
