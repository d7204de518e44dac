#include "upstream_speed/speed_watch.h"

#include <utility>

namespace almondtiller::upstream_speed {

namespace {

/// Slow parts at which an upstream begins and ceases to count as slow.
constexpr auto begins_slow = 1.2;
constexpr auto ends_slow = 1.1;
/// Least stated factor that counts as a disturbance.
constexpr auto disturbed_factor = 1.5;
/// Time without a statement of a disturbance after which it has ended.
constexpr auto calm_time = core::milliseconds(60000);
/// Time for which an upstream must be slow before it is logged. The upstreams
/// of a service complete their bins at different times, so that a change of all
/// of them looks for half a second like one of the first.
constexpr auto least_slow_time = core::milliseconds(2000);

} // namespace

auto name_of(speed_state state) -> std::string_view
{
    switch (state) {
    case speed_state::usual:
        return "usual";
    case speed_state::disturbed:
        return "disturbed";
    case speed_state::slow:
        return "slow";
    }
    return "unknown";
}

auto speed_watch::update(const speed_estimate& speed, core::time_point now)
    -> std::optional<speed_state>
{
    if (speed.slow_part() < (this->is_slow ? ends_slow : begins_slow)) {
        this->slow_since.reset();
    } else if (!this->slow_since) {
        this->slow_since = now;
    }
    this->is_slow =
        this->slow_since &&
        (this->is_slow || now - *this->slow_since >= least_slow_time);
    const auto& stated = speed.stated();
    if (stated && stated->factor >= disturbed_factor) {
        this->disturbed_at = stated->at;
    }
    const auto is_disturbed =
        this->disturbed_at && now - *this->disturbed_at < calm_time;
    auto current = speed_state::usual;
    if (this->is_slow) {
        current = speed_state::slow;
    } else if (is_disturbed) {
        current = speed_state::disturbed;
    }
    if (std::exchange(this->state, current) == current) {
        return std::nullopt;
    }
    return current;
}

} // namespace almondtiller::upstream_speed
