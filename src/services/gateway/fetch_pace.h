#pragma once

#include "core/clock.h"

namespace almondtiller::gateway {

/// Decides when a node asks a peer for what it lacks of one kind of object.
/// Load pattern: a change reaches most nodes at once, and some of the peers
/// that know it are slow, leaving or cut off just then.
class fetch_pace
{
public:
    /// A peer has said that it knows nothing newer.
    auto on_equal(core::time_point now) -> void;

    /// A peer has said that it knows more.
    /// \param follows The node watches the store itself.
    /// \return Whether to ask that peer now; it counts as asked then.
    auto should_ask(bool follows, core::time_point now) -> bool;

    /// A peer that was asked has answered or failed to.
    auto on_answer() -> void;

private:
    /// When this node last was up to date or asked.
    core::time_point settled;
    core::time_point asked;
    bool is_asking = false;
};

} // namespace almondtiller::gateway
