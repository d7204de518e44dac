#include "services/gateway/fetch_pace.h"

#include "services/gateway/follower_limits.h"

namespace almondtiller::gateway {

auto fetch_pace::should_ask(std::int64_t own, core::milliseconds patience,
                            core::time_point now) -> bool
{
    if (this->had != own) {
        this->had = own;
        this->behind_since = now;
    }
    // Other peers that know no more either don't make the node any less behind.
    const auto waits = this->is_asking && now - this->asked < snapshot_patience;
    if (waits || now - this->behind_since < patience) {
        return false;
    }
    this->asked = now;
    this->is_asking = true;
    return true;
}

auto fetch_pace::on_answer() -> void
{
    this->is_asking = false;
}

} // namespace almondtiller::gateway
