#include "fleet/store_budget.h"

#include <algorithm>
#include <chrono>

namespace almondtiller::fleet {

store_budget::store_budget(double per_second, double burst)
    : per_second(per_second), burst(burst), tokens(burst)
{}

auto store_budget::try_acquire(core::time_point now) -> bool
{
    const auto passed = std::chrono::duration<double>(now - this->last_refill);
    this->last_refill = std::max(this->last_refill, now);
    const auto gained = std::max(0.0, passed.count()) * this->per_second;
    this->tokens = std::min(this->burst, this->tokens + gained);
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

} // namespace almondtiller::fleet
