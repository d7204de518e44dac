#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace almondtiller::load {

/// When requests are sent, from the start of a run; ascending.
using schedule = std::vector<core::duration>;

/// \return Poisson arrivals for \a length at \a rate a second; the same for
///         the same seed.
auto poisson_schedule(double rate, core::duration length, std::uint64_t seed)
    -> schedule;

/// Sends one request. \a intended is when it should have been sent: what an
/// answer's latency counts from, so that a stall is not hidden.
using sender = std::function<void(std::size_t index, std::size_t worker,
                                  core::time_point intended)>;

/// Sends every request of the schedule, whether or not earlier ones were
/// answered, as long as one of the workers is free.
auto run_open_loop(const schedule& arrivals, std::size_t workers,
                   const sender& send) -> void;

} // namespace almondtiller::load
