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
    /// Only valid for this incarnation, unless either is unknown.
    std::string incarnation;
    std::uint32_t slots = 0;
    core::time_point expires;

    auto operator==(const cold_grant&) const -> bool = default;
};

/// A cold upstream as this node's scheduler sees it.
struct cold_upstream
{
    core::upstream_id id;
    std::string incarnation; ///< Empty while unknown.
    /// Slots that would be used; 0 when there is no work for it.
    std::uint32_t wanted = 0;
    /// Attempts of this node in flight at it, whenever they were sent.
    std::uint32_t in_flight = 0;

    auto operator==(const cold_upstream&) const -> bool = default;
};

/// A node asks the steward of a cold upstream for slots.
struct cold_ask
{
    core::upstream_id id;
    core::pool_name pool;
    /// Grows with each start of the asking node.
    std::uint64_t holder_start = 0;
    /// Grows with each message of the asking node.
    std::uint64_t sequence = 0;
    /// Offers with smaller sequences will never be used, now or later.
    std::uint64_t floor = 0;
    std::uint32_t wanted = 0;
    std::uint32_t in_flight = 0;

    auto operator==(const cold_ask&) const -> bool = default;
};

/// Whether a steward could decide on an ask.
enum class cold_verdict
{
    decided,
    not_steward, ///< By the steward's view another node decides.
    waiting,     ///< Grants of a former steward may still be in use.
    no_quorum,   ///< The steward sees too few of the nodes it knew.
};

/// A steward's answer to a cold_ask.
struct cold_offer
{
    core::upstream_id id;
    std::uint64_t sequence = 0; ///< Of the ask.
    cold_verdict verdict = cold_verdict::decided;
    /// Attempts that the asking node may have in flight.
    std::uint32_t slots = 0;
    /// Counted from when the ask was sent.
    core::duration valid_for{};
    /// When another ask is worth while, for refusals.
    core::duration retry_after{};

    auto operator==(const cold_offer&) const -> bool = default;
};

/// Durations that stewards and holders agree on.
struct cold_timing
{
    core::duration grant_duration = std::chrono::seconds(1);
    /// How long two nodes may disagree on who is a member.
    core::duration view_skew = std::chrono::seconds(2);
    /// Longest time from a cold dispatch to the end of its attempt.
    core::duration longest_dispatch = std::chrono::seconds(3);
    /// How long a node that vanished without leaving counts for the quorum.
    core::duration quorum_memory = std::chrono::seconds(60);
    /// A steward that did not run for longer starts over.
    core::duration longest_pause = std::chrono::milliseconds(500);

    auto operator==(const cold_timing&) const -> bool = default;
};

/// The nodes as one node knows them.
struct cold_view
{
    std::vector<core::node_id> members; ///< May be stewards.
    std::vector<core::node_id> left;    ///< Announced that they leave.

    auto operator==(const cold_view&) const -> bool = default;
};

/// \return The member that decides on an upstream's slots, by rendezvous
///         hashing; empty when there are no members.
[[nodiscard]] auto steward_of(const core::upstream_id& id,
                              const std::vector<core::node_id>& members)
    -> core::node_id;

/// A cold dispatch ends at most so long after it began: the shell cancels
/// the attempt at dispatch::finish_by.
constexpr auto longest_cold_dispatch = core::duration(std::chrono::seconds(3));

} // namespace almondtiller::routing
