#include "base/byte_budget.hpp"

namespace waxwingvalve::base
{

bool byte_budget::has_room(std::uint64_t bytes, byte_claim claim) const
{
    const auto kept = claim == byte_claim::kept ? 0 : kept_;
    // A stated length can be as large as the type allows.
    const auto most = limit_ > kept ? limit_ - kept : 0;
    return bytes <= most && used_ <= most - bytes;
}

bool byte_budget::try_take(std::uint64_t bytes, byte_claim claim)
{
    if (!has_room(bytes, claim) ||
        (whole_ != nullptr && !whole_->try_take(bytes, claim)))
    {
        ++refusals_;
        return false;
    }
    used_ += bytes;
    return true;
}

void byte_budget::take(std::uint64_t bytes)
{
    used_ += bytes;
    if (whole_ != nullptr)
    {
        whole_->take(bytes);
    }
}

void byte_budget::give_back(std::uint64_t bytes)
{
    used_ -= bytes;
    if (whole_ != nullptr)
    {
        whole_->give_back(bytes);
    }
}

byte_hold& byte_hold::operator=(byte_hold&& other) noexcept
{
    if (this != &other)
    {
        release();
        owner_ = std::move(other.owner_);
        budget_ = std::exchange(other.budget_, nullptr);
        bytes_ = std::exchange(other.bytes_, 0);
        claim_ = other.claim_;
    }
    return *this;
}

byte_hold byte_hold::take_all()
{
    byte_hold all;
    all.owner_ = owner_;
    all.budget_ = budget_;
    all.bytes_ = std::exchange(bytes_, 0);
    all.claim_ = claim_;
    return all;
}

bool byte_hold::try_grow(std::uint64_t bytes)
{
    if (budget_ == nullptr || bytes <= bytes_)
    {
        return true;
    }
    if (!budget_->try_take(bytes - bytes_, claim_))
    {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void byte_hold::resize(std::uint64_t bytes)
{
    if (budget_ == nullptr || bytes == bytes_)
    {
        return;
    }
    budget_->give_back(bytes_);
    budget_->take(bytes);
    bytes_ = bytes;
}

std::optional<std::uint64_t> byte_hold::part_limit() const
{
    if (budget_ == nullptr || budget_->whole() == nullptr)
    {
        return std::nullopt;
    }
    return budget_->limit();
}

bool byte_hold::over_part(std::uint64_t bytes) const
{
    return budget_ != nullptr && budget_->whole() != nullptr &&
           bytes > bytes_ && !budget_->has_room(bytes - bytes_, claim_);
}

} // namespace waxwingvalve::base
