#pragma once

#include "routing/cold_slots.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondtiller::routing {

/// Grants the slots of those cold upstreams that this node is steward of, so
/// that all nodes together stay within the upstream's cold capacity. A holder
/// counts with the largest of what it said it has in flight and of every grant
/// that it may still use or whose work may still run. A new steward first
/// waits until whatever a former one granted is over.
class cold_steward
{
public:
    cold_steward(core::node_id self, cold_timing timing, core::time_point now);

    auto set_timing(const cold_timing& timing) -> void;
    auto set_view(cold_view view, core::time_point now) -> void;

    /// Must be called more often than cold_timing::longest_pause; a longer
    /// pause makes this node wait again like a new steward.
    auto tick(core::time_point now) -> void;

    /// \param capacity Attempts that the cold upstream bears.
    auto ask(const core::node_id& holder, const cold_ask& asked,
             std::uint32_t capacity, core::time_point now) -> cold_offer;

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
        /// Since when its demand was not met, and when its turn began.
        std::optional<core::time_point> unserved_since;
        std::optional<core::time_point> turn_start;
    };
    struct upstream_record
    {
        std::map<core::node_id, holder_record> holders;
        /// Grants of former lives of holders.
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
    [[nodiscard]] auto settle_time() const -> core::duration;
    [[nodiscard]] auto askers_ahead(const upstream_record& of,
                                    const core::node_id& holder,
                                    core::time_point now) const
        -> std::uint32_t;
    [[nodiscard]] auto fair_share(const upstream_record& of,
                                  std::uint32_t capacity,
                                  core::time_point now) const -> std::uint32_t;
    static auto occupied(const holder_record& of, core::time_point now)
        -> std::uint32_t;
    static auto occupied_by_others(const upstream_record& of,
                                   const core::node_id& holder,
                                   core::time_point now) -> std::uint32_t;
    auto take_statement(upstream_record& of, const core::node_id& holder,
                        const cold_ask& asked, core::time_point now) -> bool;
    auto decide(upstream_record& of, const core::node_id& holder,
                const cold_ask& asked, std::uint32_t capacity,
                core::time_point now) -> std::uint32_t;
    auto forget_old(core::time_point now) -> void;
    auto forget_ended(upstream_record& of, core::time_point now) const -> void;

    core::node_id self;
    cold_timing timing;
    core::time_point waiting_since;
    core::time_point last_tick;
    cold_view view;
    std::deque<past_view> past;
    std::map<core::node_id, core::time_point> last_seen;
    std::unordered_map<core::upstream_id, upstream_record> upstreams;
};

} // namespace almondtiller::routing
