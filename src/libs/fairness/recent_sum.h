#pragma once

#include "core/clock.h"

namespace almondtiller::fairness {

/// Time over which a recent_sum averages: several calls of a stage or requests
/// of a model, but shorter than most work may wait.
inline constexpr auto recent_window = core::milliseconds(1000);

/// A sum in which older amounts count less (exponential decay over
/// recent_window). At a constant rate it tends to the amount of one window.
class recent_sum
{
public:
    auto add(double amount, core::time_point now) -> void;
    [[nodiscard]] auto value(core::time_point now) const -> double;

private:
    double sum = 0;
    core::time_point updated;
};

} // namespace almondtiller::fairness
