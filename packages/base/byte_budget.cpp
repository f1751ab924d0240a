#include "base/byte_budget.hpp"

namespace waxwingvalve::base
{

bool byte_budget::try_take(std::uint64_t bytes)
{
    // A stated length can be as large as the type allows.
    if (bytes > limit_ || used_ > limit_ - bytes)
    {
        ++refusals_;
        return false;
    }
    used_ += bytes;
    return true;
}

byte_hold& byte_hold::operator=(byte_hold&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = other.budget_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool byte_hold::try_grow(std::uint64_t bytes)
{
    if (budget_ == nullptr || bytes <= bytes_)
    {
        return true;
    }
    if (!budget_->try_take(bytes - bytes_))
    {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void byte_hold::resize(std::uint64_t bytes)
{
    if (budget_ == nullptr)
    {
        return;
    }
    budget_->give_back(bytes_);
    budget_->take(bytes);
    bytes_ = bytes;
}

} // namespace waxwingvalve::base
