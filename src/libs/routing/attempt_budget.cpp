#include "routing/attempt_budget.h"

#include <algorithm>

namespace almondtiller::routing {

namespace {

/// Tolerance for rounding errors in the sum of ratios; far below one token.
constexpr auto rounding_tolerance = 1e-9;

} // namespace

attempt_budget::attempt_budget(double ratio) : ratio(ratio)
{}

auto attempt_budget::set_ratio(double ratio) -> void
{
    this->ratio = ratio;
}

auto attempt_budget::deposit() -> void
{
    this->tokens = std::min(this->tokens + this->ratio, burst);
}

auto attempt_budget::can_withdraw() const -> bool
{
    return this->tokens >= 1.0 - rounding_tolerance;
}

auto attempt_budget::try_withdraw() -> bool
{
    if (!this->can_withdraw()) {
        return false;
    }
    this->tokens = std::max(this->tokens - 1.0, 0.0);
    return true;
}

auto attempt_budget::refund() -> void
{
    this->tokens = std::min(this->tokens + 1.0, burst);
}

} // namespace almondtiller::routing
