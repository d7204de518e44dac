#pragma once

#include "core/clock.h"

#include <cstdint>

namespace almondtiller::dispatch {

/// About a full call: stage work that is refused finds no room earlier.
inline constexpr auto shortest_stage_retry = core::milliseconds(300);
/// Work that moves more bytes should be done in its own zone.
inline constexpr auto large_transfer_bytes = std::uint64_t(256) << 10U;
/// Work waits for its own zone while it would end there within that share of
/// the time that it has; a byte saved matters less than an answer on time.
inline constexpr auto home_wait_share = 0.4;
/// An upstream whose calls take that much longer than nominal is used only
/// under pressure, and for one call at a time to see whether it still is slow.
inline constexpr auto slow_ratio = 2.0;
inline constexpr auto slow_retest = core::milliseconds(1000);
/// Weight of the newest call in an upstream's measured slowness: one call
/// shows most of it, as calls of a stage take nearly the same time.
inline constexpr auto slowness_weight = 0.7;
/// A call is overdue after this multiple of its expected time plus a slack
/// for the fetching of inputs; its pieces then go elsewhere as well.
inline constexpr auto overdue_factor = 2.0;
inline constexpr auto overdue_slack = core::milliseconds(250);
/// Least share of the upstreams that is believed to be left for work which a
/// burst overtakes, as no burst lasts.
inline constexpr auto least_share = 0.05;
/// Pause of an upstream that was full.
inline constexpr auto full_pause = core::milliseconds(40);
inline auto as_duration(std::chrono::duration<double, std::milli> time)
    -> core::duration
{
    return std::chrono::duration_cast<core::duration>(time);
}

} // namespace almondtiller::dispatch
