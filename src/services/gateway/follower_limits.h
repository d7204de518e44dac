#pragma once

#include "core/clock.h"
#include "platform/entries.h"

namespace almondtiller::gateway {

inline constexpr auto snapshot_topic = "snapshot";
/// Longer than a megabyte takes over the slowest link beside requests.
inline constexpr auto snapshot_limit = core::milliseconds(5000);
/// A peer that has not answered by then is slow or gone, and the next one that
/// knows more is asked as well: far above a round trip between zones, far
/// below the time in which a configuration must be in force. After the third
/// the time doubles with each, as answers that fill the link don't come sooner
/// by more of them.
inline constexpr auto snapshot_patience = core::milliseconds(250);
inline constexpr auto patient_asks = 2;
inline constexpr auto most_patience_doublings = 4;
/// Asks for all objects instead of those that changed since a revision.
inline constexpr auto whole_list = std::int64_t(-1);
/// First byte of a snapshot's answer.
inline constexpr auto changes_mark = 'c';
inline constexpr auto page_mark = 'p';
/// Stands before the compressed form of such an answer; sent to peers that
/// have said with their question that they read it.
inline constexpr auto packed_mark = 'z';
inline constexpr auto reads_packed = " z";
/// Smaller answers are sent as they are.
inline constexpr auto least_packed = std::size_t(1024);
/// Answers of one kind and revision that are kept for the next peer.
inline constexpr auto most_snapshots = std::size_t(8);
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
inline constexpr auto announce_limit = core::milliseconds(2000);

inline auto index_of(adapter::object_kind kind) -> std::size_t
{
    return std::size_t(kind);
}

} // namespace almondtiller::gateway
