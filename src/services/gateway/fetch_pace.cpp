#include "services/gateway/fetch_pace.h"

#include "services/gateway/follower_limits.h"

#include <algorithm>

namespace almondtiller::gateway {

auto fetch_pace::should_ask(std::int64_t own, core::milliseconds patience,
                            core::time_point now) -> bool
{
    if (this->had != own) {
        this->had = own;
        this->behind_since = now;
        this->asks = 0;
    }
    // Answers that bring no newer revision don't reset the doublings.
    const auto doublings =
        std::clamp(this->asks - patient_asks, 0, most_patience_doublings);
    const auto waits = this->is_asking &&
                       now - this->asked < snapshot_patience * (1 << doublings);
    if (waits || now - this->behind_since < patience) {
        return false;
    }
    this->asked = now;
    this->is_asking = true;
    ++this->asks;
    return true;
}

auto fetch_pace::on_answer() -> void
{
    this->is_asking = false;
}

} // namespace almondtiller::gateway
