#include "services/gateway/fetch_pace.h"

#include "services/gateway/follower_limits.h"

namespace almondtiller::gateway {

auto fetch_pace::on_equal(core::time_point now) -> void
{
    this->settled = now;
}

auto fetch_pace::should_ask(bool follows, core::time_point now) -> bool
{
    // An own watch mostly brings the change by itself.
    const auto patience = follows ? silent_watch : core::milliseconds(0);
    const auto waits = this->is_asking && now - this->asked < snapshot_patience;
    if (waits || now - this->settled < patience) {
        return false;
    }
    this->settled = now;
    this->asked = now;
    this->is_asking = true;
    return true;
}

auto fetch_pace::on_answer() -> void
{
    this->is_asking = false;
}

} // namespace almondtiller::gateway
