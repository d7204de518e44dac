#pragma once

#include "upstream_speed/speed_estimate.h"

#include <optional>
#include <string_view>

namespace almondtiller::upstream_speed {

enum class speed_state
{
    usual,
    disturbed, ///< The upstream recently stated that its machine is slow.
    slow,      ///< Its own responses take longer than those of its service.
};

/// \return The name of a state in log lines.
[[nodiscard]] auto name_of(speed_state state) -> std::string_view;

/// Says when operators should be told about the speed of an upstream. Load
/// pattern: statements that change many times a second. A state begins and ends
/// at different values, and a disturbance ends only after a minute without a
/// statement of it, so that an upstream causes at most a few lines a minute.
class speed_watch
{
public:
    /// \return The new state if it has changed.
    auto update(const speed_estimate& speed, core::time_point now)
        -> std::optional<speed_state>;

private:
    speed_state state = speed_state::usual;
    bool is_slow = false;
    std::optional<core::time_point> disturbed_at;
    /// Since when it has been slow, told or not.
    std::optional<core::time_point> slow_since;
};

} // namespace almondtiller::upstream_speed
