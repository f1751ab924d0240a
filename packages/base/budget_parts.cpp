#include "base/budget_parts.hpp"

namespace waxwingvalve::base
{

struct budget_parts::part
{
    part(budget_parts& all, std::string part_name)
        : budget{all.limit_, all.whole_}, owner{all}, name{std::move(part_name)}
    {
        budget.keep_back(all.kept_);
    }
    ~part() { owner.parts_.erase(name); }
    part(const part&) = delete;
    part& operator=(const part&) = delete;

    byte_budget budget;
    budget_parts& owner;
    std::string name;
};

std::shared_ptr<byte_budget> budget_parts::of(const std::string& name)
{
    const auto known = parts_.find(name);
    if (known != parts_.end())
    {
        const auto one = known->second.lock();
        return {one, &one->budget};
    }
    const auto made = std::make_shared<part>(*this, name);
    parts_.emplace(name, made);
    return {made, &made->budget};
}

} // namespace waxwingvalve::base
