#pragma once

#include "core/clock.h"

#include <functional>

namespace almondtiller::harness {

/// The longest that a test waits for something that must happen.
constexpr auto default_bound = core::milliseconds(15000);

/// Checks \a condition again and again until it holds or \a bound is over.
/// \return Whether it held.
auto eventually(const std::function<bool()>& condition,
                core::milliseconds bound = default_bound) -> bool;

/// \return Time since some fixed point, the same in every process.
auto now() -> core::time_point;

/// Lets time pass, where a test is about what happens in that time.
auto let_pass(core::milliseconds time) -> void;

} // namespace almondtiller::harness
