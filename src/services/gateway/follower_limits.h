#pragma once

#include "core/clock.h"
#include "platform/entries.h"

namespace almondtiller::gateway {

inline constexpr auto snapshot_topic = "snapshot";
/// Timeout of a snapshot call: longer than the transfer of a megabyte takes
/// over the slowest link while it also carries requests.
inline constexpr auto snapshot_timeout = core::milliseconds(5000);
/// Time after which a peer that has not answered a snapshot call counts as slow
/// or dead, and the next peer with a newer revision is called as well. It is
/// far above a round trip between zones and far below the time in which a
/// configuration must be in force. After the third attempt the time doubles
/// with each further one, because more answers on a saturated link do not
/// arrive sooner.
inline constexpr auto snapshot_retry_delay = core::milliseconds(250);
inline constexpr auto constant_delay_attempts = 2;
inline constexpr auto max_fetch_delay_doublings = 4;
/// In place of a revision in a snapshot call: requests all objects instead of
/// the changes since a revision.
inline constexpr auto full_list = std::int64_t(-1);
/// First byte of the answer to a snapshot call: a list of changes or a page of
/// all objects.
inline constexpr auto changes_mark = 'c';
inline constexpr auto page_mark = 'p';
/// First byte of a compressed answer, which is only sent to nodes that accept
/// it.
inline constexpr auto compressed_mark = 'z';
/// Answers of fewer bytes are sent uncompressed.
inline constexpr auto min_compressed_size = std::size_t(1024);
/// Encoded answers of one kind and revision that are cached for further peers.
inline constexpr auto max_cached_snapshots = std::size_t(8);
/// Pause between two watches of upstreams or nodes, whose changes come in
/// batches.
inline constexpr auto batch_pause = core::milliseconds(150);
/// Difference between the waits of the nodes' watches. Although a change ends
/// all watches at once, about one node per step then starts a new watch. Its
/// heartbeats carry the new revision to the other nodes, whose own watches may
/// have stopped receiving changes.
inline constexpr auto watch_wait_step = core::milliseconds(1000);
/// The same for rollouts, which are ordered rarely: each watch is a call that
/// the platform charges, and heartbeats carry their revisions as well.
inline constexpr auto rollout_watch_wait_step = core::milliseconds(5000);
inline constexpr auto max_watch_wait = core::milliseconds(25000);
/// A watch that is older than this when a peer reports a newer revision has
/// missed a change.
inline constexpr auto max_watch_silence = core::milliseconds(300);
/// A node sends a snapshot call to a peer to which it has no connection only if
/// its connected peers have not provided the change within this time.
inline constexpr auto unconnected_peer_delay = core::milliseconds(1000);
/// The upstreams of a longer first list are not logged one by one. Thousands of
/// lines would fill the log's buffer, and those that follow would be dropped.
inline constexpr auto max_logged_first_list = std::size_t(300);
inline constexpr auto expiry_interval = core::milliseconds(200);
inline constexpr auto announce_retry_delay = core::milliseconds(500);
inline constexpr auto announce_timeout = core::milliseconds(2000);

inline auto index_of(adapter::object_kind kind) -> std::size_t
{
    return std::size_t(kind);
}

} // namespace almondtiller::gateway
