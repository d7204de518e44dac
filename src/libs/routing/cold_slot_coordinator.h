#pragma once

#include "routing/cold_slots.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondtiller::routing {

/// Grants slots of the cold upstreams that this node coordinates, so that the
/// attempts in flight from all nodes stay within the upstream's cold capacity.
/// Each holder occupies the maximum of the number of attempts in flight that
/// it reported and of the slots of every grant that it may still use or whose
/// attempts may still run. A new coordinator grants nothing until all grants
/// of its predecessor and their attempts have ended.
class cold_slot_coordinator
{
public:
    cold_slot_coordinator(core::node_id self, cold_timing timing,
                          core::time_point now);

    auto set_timing(const cold_timing& timing) -> void;
    auto set_view(member_view view, core::time_point now) -> void;

    /// Removes expired state. Must be called at intervals shorter than
    /// cold_timing::longest_pause; after a longer pause this node waits like a
    /// new coordinator.
    auto tick(core::time_point now) -> void;

    /// Decides on a slot request.
    /// \param capacity Maximum number of attempts in flight at the cold
    ///                 upstream, summed over all nodes.
    auto handle_request(const core::node_id& holder,
                        const cold_slot_request& request,
                        std::uint32_t capacity, core::time_point now)
        -> cold_slot_response;

private:
    struct grant
    {
        std::uint64_t sequence;
        std::uint32_t slots;
        core::time_point occupied_until;
    };
    struct holder_record
    {
        std::uint64_t start = 0;
        std::uint64_t last_sequence = 0;
        std::uint32_t in_flight = 0;
        core::time_point in_flight_until;
        std::vector<grant> grants;
        core::time_point last_wanted = core::time_point::min();
        /// Since when its requests have been denied; empty after a grant.
        std::optional<core::time_point> unserved_since;
        /// When its current turn began; empty after a denied request.
        std::optional<core::time_point> turn_start;
    };
    struct upstream_record
    {
        std::map<core::node_id, holder_record> holders;
        /// Slots granted to holders before they restarted, whose attempts may
        /// still run.
        std::vector<grant> orphans;
    };
    struct past_view
    {
        core::time_point until;
        std::vector<core::node_id> members;
    };

    [[nodiscard]] auto ready_at(const core::upstream_id& id) const
        -> core::time_point;
    [[nodiscard]] auto has_quorum(core::time_point now) const -> bool;
    [[nodiscard]] auto settle_duration() const -> core::duration;
    [[nodiscard]] auto requesters_ahead(const upstream_record& upstream,
                                        const core::node_id& holder,
                                        core::time_point now) const
        -> std::uint32_t;
    [[nodiscard]] auto fair_share(const upstream_record& upstream,
                                  std::uint32_t capacity,
                                  core::time_point now) const -> std::uint32_t;
    static auto occupied_slots(const holder_record& holder_state,
                               core::time_point now) -> std::uint32_t;
    static auto slots_occupied_by_others(const upstream_record& upstream,
                                         const core::node_id& holder,
                                         core::time_point now) -> std::uint32_t;
    auto update_holder(upstream_record& upstream, const core::node_id& holder,
                       const cold_slot_request& request, core::time_point now)
        -> bool;
    auto decide(upstream_record& upstream, const core::node_id& holder,
                const cold_slot_request& request, std::uint32_t capacity,
                core::time_point now) -> std::uint32_t;
    auto remove_expired_state(core::time_point now) -> void;
    auto expire_holders(upstream_record& upstream, core::time_point now) const
        -> void;

    core::node_id self;
    cold_timing timing;
    core::time_point settling_since;
    core::time_point last_tick;
    member_view view;
    std::deque<past_view> past_views;
    std::map<core::node_id, core::time_point> last_seen;
    std::unordered_map<core::upstream_id, upstream_record> upstreams;
};

} // namespace almondtiller::routing
