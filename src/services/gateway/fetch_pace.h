#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace almondtiller::gateway {

/// Decides when a node asks a peer for what it lacks of one kind of object.
/// Load pattern: a change reaches most nodes at once, and some of the peers
/// that know it are slow, leaving or cut off just then.
class fetch_pace
{
public:
    /// A peer has said that it knows more.
    /// \param own The revision or version that this node has.
    /// \param patience How long to wait for others that mostly tell it sooner,
    ///        as an own watch does.
    /// \return Whether to ask that peer now; it counts as asked then.
    auto should_ask(std::int64_t own, core::milliseconds patience,
                    core::time_point now) -> bool;

    /// A peer that was asked has answered or failed to.
    auto on_answer() -> void;

private:
    /// What this node had when it first heard of more.
    std::optional<std::int64_t> had;
    core::time_point behind_since;
    core::time_point asked;
    bool is_asking = false;
    /// Peers asked since this node has what it has.
    int asks = 0;
};

} // namespace almondtiller::gateway
