#pragma once

#include "core/clock.h"
#include "serving/store_revision.h"

#include <cstdint>
#include <optional>

namespace almondtiller::gateway {

/// Decides when a node fetches changes that it lacks to one kind of object from
/// a peer. Load pattern: a change reaches most nodes at once, and some of the
/// peers that have it are slow, leaving or disconnected at that moment.
class fetch_throttle
{
public:
    /// Called when a peer reports a newer revision or version.
    /// \param own_revision The revision that this node has, or the version as a
    ///        number.
    /// \param initial_delay How long to wait for sources that usually deliver
    ///        the change sooner, such as the node's own watch.
    /// \return Whether to fetch from that peer now; if so, the call counts as
    ///         sent.
    auto should_fetch(const serving::store_revision& own_revision,
                      core::milliseconds initial_delay, core::time_point now)
        -> bool;

    /// Called when a peer has answered the call or the call has failed.
    auto on_answer() -> void;

private:
    /// This node's revision or version when a peer first reported a newer one.
    std::optional<serving::store_revision> stale_revision;
    core::time_point behind_since;
    core::time_point last_fetch;
    bool has_open_call = false;
    /// Calls since the node's revision or version last changed.
    int fetch_count = 0;
};

} // namespace almondtiller::gateway
