#include "fairness/recent_sum.h"

#include <algorithm>
#include <cmath>

namespace almondtiller::fairness {

auto recent_sum::value(core::time_point now) const -> double
{
    const auto age = std::chrono::duration<double>(
                         std::max(now, this->updated) - this->updated) /
                     std::chrono::duration<double>(recent_window);
    return this->sum * std::exp(-age);
}

auto recent_sum::add(double amount, core::time_point now) -> void
{
    this->sum = this->value(now) + amount;
    this->updated = std::max(now, this->updated);
}

} // namespace almondtiller::fairness
