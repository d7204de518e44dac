#pragma once

#include "core/clock.h"

#include <cstdint>

namespace almondtiller::dispatch {

/// Shortest retry time for rejected stage work: about the time of a full call,
/// as there is no room for the work earlier.
inline constexpr auto min_stage_retry_after = core::milliseconds(300);
/// Work that transfers at least this many bytes should be done in its own zone.
inline constexpr auto large_transfer_bytes = std::uint64_t(256) << 10U;
/// Work waits for its own zone while it would end there within this share of
/// the time until it is due; a saved byte matters less than an answer on time.
inline constexpr auto own_zone_wait_share = 0.4;
/// An upstream whose calls take this multiple of the nominal time is used only
/// under overload, or for one call at a time to see whether it is still slow.
inline constexpr auto slow_ratio = 2.0;
inline constexpr auto slow_retest_interval = core::milliseconds(1000);
/// Weight of the newest call in the measured slowness of an upstream: one call
/// shows most of it, as calls of a stage take nearly the same time.
inline constexpr auto slowness_weight = 0.7;
/// A call is overdue after this multiple of its expected time plus a slack for
/// fetching inputs; its pieces are then offered to other upstreams as well.
inline constexpr auto overdue_factor = 2.0;
inline constexpr auto overdue_slack = core::milliseconds(250);
/// Least share of the capacity that is assumed to be left for work that a burst
/// overtakes, as no burst lasts.
inline constexpr auto min_capacity_share = 0.05;
/// Pause of an upstream after it was full or failed a call.
inline constexpr auto call_failure_pause = core::milliseconds(40);

inline auto as_duration(std::chrono::duration<double, std::milli> time)
    -> core::duration
{
    return std::chrono::duration_cast<core::duration>(time);
}

} // namespace almondtiller::dispatch
