#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::routing {

/// Slots of a cold upstream that this node may use until they expire.
struct cold_grant
{
    core::upstream_id id;
    /// The grant is valid only for this incarnation, unless the grant's or the
    /// upstream's incarnation is unknown (empty).
    std::string incarnation;
    std::uint32_t slots = 0;
    core::time_point expires;

    auto operator==(const cold_grant&) const -> bool = default;
};

/// The state of a cold upstream in this node's scheduler.
struct cold_upstream
{
    core::upstream_id id;
    std::string incarnation; ///< Empty while unknown.
    /// Number of slots that this node could use; 0 without work for it.
    std::uint32_t wanted = 0;
    /// Attempts of this node in flight at the upstream, including those sent
    /// before it turned cold.
    std::uint32_t in_flight = 0;

    auto operator==(const cold_upstream&) const -> bool = default;
};

/// A node's request for slots to the coordinator of a cold upstream.
struct cold_slot_request
{
    core::upstream_id id;
    core::pool_name pool;
    /// Increases with each start of the requesting node.
    std::uint64_t holder_start = 0;
    /// Increases with each request of the requesting node.
    std::uint64_t sequence = 0;
    /// The requesting node uses no slots granted for smaller sequences, now or
    /// later.
    std::uint64_t min_valid_sequence = 0;
    std::uint32_t wanted = 0;
    std::uint32_t in_flight = 0;

    auto operator==(const cold_slot_request&) const -> bool = default;
};

/// Whether a coordinator could decide on a request.
enum class cold_verdict
{
    decided,
    not_coordinator, ///< In the receiver's view another node is coordinator.
    waiting,         ///< Grants of a previous coordinator may still be in use.
    no_quorum,       ///< Too few of the recently known nodes are members.
};

/// The coordinator's response to a cold_slot_request.
struct cold_slot_response
{
    core::upstream_id id;
    std::uint64_t sequence = 0; ///< Sequence of the request.
    cold_verdict verdict = cold_verdict::decided;
    /// Maximum number of attempts in flight from the requesting node.
    std::uint32_t slots = 0;
    /// Lifetime of the grant, counted from when the request was sent.
    core::duration valid_for{};
    /// Delay before the next request, unless the verdict is decided.
    core::duration retry_after{};

    auto operator==(const cold_slot_response&) const -> bool = default;
};

/// Durations that must be equal on coordinators and holders of slots.
struct cold_timing
{
    core::duration grant_duration = std::chrono::seconds(1);
    /// Longest time for which the member views of two nodes may differ.
    core::duration view_skew = std::chrono::seconds(2);
    /// Longest time from a dispatch to a cold upstream to the attempt's end.
    core::duration longest_dispatch = std::chrono::seconds(3);
    /// How long a node that disappeared without announcing its leave counts
    /// towards the quorum.
    core::duration quorum_retention = std::chrono::seconds(60);
    /// A coordinator that was paused for longer than this must wait like a new
    /// one before it grants slots.
    core::duration longest_pause = std::chrono::milliseconds(500);

    auto operator==(const cold_timing&) const -> bool = default;
};

/// One node's view of the fleet.
struct member_view
{
    std::vector<core::node_id> members; ///< Eligible as coordinators.
    std::vector<core::node_id> leaving; ///< Announced that they leave.

    auto operator==(const member_view&) const -> bool = default;
};

/// \return The member that coordinates an upstream's slots, chosen by
///         rendezvous hashing; empty when there are no members.
[[nodiscard]] auto coordinator_of(const core::upstream_id& id,
                                  const std::vector<core::node_id>& members)
    -> core::node_id;

/// Maximum duration of an attempt at a cold upstream; the caller of the
/// scheduler cancels the attempt at dispatch::finish_by.
constexpr auto longest_cold_dispatch = core::duration(std::chrono::seconds(3));

} // namespace almondtiller::routing
