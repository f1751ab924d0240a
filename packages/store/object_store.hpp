// Interface of the platform's object store. Objects are addressed by name and
// written or overwritten as a whole; there is no append.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"

namespace waxwingvalve::store
{

// Errors of get: platform_unreachable, platform_refused, object_missing.
// Errors of put: those of table_service::commit except platform_conflict.
template <class T>
concept object_store =
    requires(T store, std::string_view name, std::string bytes)
{
    {
        store.get(name)
        } -> std::same_as<boost::asio::awaitable<base::result<std::string>>>;
    {
        store.put(name, bytes)
        } -> std::same_as<boost::asio::awaitable<base::result<void>>>;
};

} // namespace waxwingvalve::store
