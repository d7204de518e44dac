#pragma once

#include "core/clock.h"
#include "platform/entries.h"

namespace almondtiller::gateway {

inline constexpr auto snapshot_topic = "snapshot";
inline constexpr auto snapshot_limit = core::milliseconds(1000);
/// A peer that has not answered by then is slow or gone, and the next one that
/// knows more is asked as well: far above a round trip between zones, far
/// below the time in which a configuration must be in force.
inline constexpr auto snapshot_patience = core::milliseconds(250);
/// Asks for all objects instead of those that changed since a revision.
inline constexpr auto whole_list = std::int64_t(-1);
/// First byte of a snapshot's answer.
inline constexpr auto changes_mark = 'c';
inline constexpr auto page_mark = 'p';
/// Pause between watches of upstreams and nodes, whose changes come together.
inline constexpr auto batch_pause = core::milliseconds(150);
/// The nodes' watches end that far apart, so that one of them asks anew about
/// once in that time although a change ends all watches at once. What it
/// finds reaches the others with its heartbeats, whose own watches may have
/// gone silent.
inline constexpr auto watch_step = core::milliseconds(1000);
inline constexpr auto longest_wait = core::milliseconds(25000);
/// A watch that is that old when a peer knows more has missed a change.
inline constexpr auto silent_watch = core::milliseconds(300);
/// A node asks a peer without a connection to it only if those to which it has
/// one have not told it a change in that time.
inline constexpr auto stranger_patience = core::milliseconds(1000);
/// Entries that are missing so soon after a failure of the store may come
/// back.
inline constexpr auto distrust_time = core::milliseconds(2500);
inline constexpr auto expiry_interval = core::milliseconds(200);
inline constexpr auto announce_retry = core::milliseconds(500);

inline auto index_of(adapter::object_kind kind) -> std::size_t
{
    return std::size_t(kind);
}

} // namespace almondtiller::gateway
