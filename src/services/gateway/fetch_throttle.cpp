#include "services/gateway/fetch_throttle.h"

#include "services/gateway/follower_limits.h"

#include <algorithm>

namespace almondtiller::gateway {

auto fetch_throttle::should_fetch(const serving::store_revision& own_revision,
                                  core::milliseconds initial_delay,
                                  core::time_point now) -> bool
{
    if (this->stale_revision != own_revision) {
        this->stale_revision = own_revision;
        this->behind_since = now;
        this->fetch_count = 0;
    }
    // Answers that bring no newer revision don't reset the doublings.
    const auto doublings =
        std::clamp(this->fetch_count - constant_delay_attempts, 0,
                   max_fetch_delay_doublings);
    const auto is_within_timeout =
        this->has_open_call &&
        now - this->last_fetch < snapshot_retry_delay * (1 << doublings);
    if (is_within_timeout || now - this->behind_since < initial_delay) {
        return false;
    }
    this->last_fetch = now;
    this->has_open_call = true;
    ++this->fetch_count;
    return true;
}

auto fetch_throttle::on_answer() -> void
{
    this->has_open_call = false;
}

} // namespace almondtiller::gateway
