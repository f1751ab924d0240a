// HTTP client of the platform's VM list.
#pragma once

#include <chrono>

#include "base/endpoint.hpp"
#include "store/vm_list.hpp"

namespace waxwingvalve::store
{

// Every call opens its own exchange and fails after `timeout`.
class http_vm_list
{
public:
    http_vm_list(base::endpoint endpoint, std::chrono::milliseconds timeout)
        : endpoint_{std::move(endpoint)}, timeout_{timeout}
    {
    }

    boost::asio::awaitable<base::result<std::vector<vm>>> read();

private:
    base::endpoint endpoint_;
    std::chrono::milliseconds timeout_;
};

static_assert(vm_list<http_vm_list>);

} // namespace waxwingvalve::store
