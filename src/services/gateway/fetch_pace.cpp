#include "services/gateway/fetch_pace.h"

#include "services/gateway/follower_limits.h"

#include <algorithm>

namespace almondtiller::gateway {

auto fetch_pace::should_ask(std::int64_t own_revision,
                            core::milliseconds initial_delay,
                            core::time_point now) -> bool
{
    if (this->stale_revision != own_revision) {
        this->stale_revision = own_revision;
        this->behind_since = now;
        this->ask_count = 0;
    }
    // Answers that bring no newer revision don't reset the doublings.
    const auto doublings =
        std::clamp(this->ask_count - patient_asks, 0, most_patience_doublings);
    const auto is_within_timeout =
        this->has_open_call &&
        now - this->last_asked < snapshot_patience * (1 << doublings);
    if (is_within_timeout || now - this->behind_since < initial_delay) {
        return false;
    }
    this->last_asked = now;
    this->has_open_call = true;
    ++this->ask_count;
    return true;
}

auto fetch_pace::on_answer() -> void
{
    this->has_open_call = false;
}

} // namespace almondtiller::gateway
