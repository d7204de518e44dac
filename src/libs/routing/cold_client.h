#pragma once

#include "routing/cold_slots.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace almondtiller::routing {

/// Requests slots of cold upstreams from their coordinators on behalf of this
/// node. A grant expires one grant duration after its request was sent. It is
/// accepted only from the node that is the coordinator in this node's view of
/// the members.
class cold_client
{
public:
    /// A cold upstream, its pool and this node's demand for slots.
    struct slot_demand
    {
        core::pool_name pool;
        cold_upstream upstream;

        auto operator==(const slot_demand&) const -> bool = default;
    };
    /// A slot request to be sent to \a target.
    struct request
    {
        core::node_id target;
        cold_slot_request slot_request;

        auto operator==(const request&) const -> bool = default;
    };
    /// A grant to be passed to the pool's scheduler.
    struct grant_change
    {
        core::pool_name pool;
        cold_grant grant;

        auto operator==(const grant_change&) const -> bool = default;
    };
    /// No slots are available for \a retry_after; to be passed to the pool's
    /// scheduler.
    struct denial
    {
        core::pool_name pool;
        core::upstream_id id;
        core::duration retry_after{};

        auto operator==(const denial&) const -> bool = default;
    };
    using outcome = std::variant<std::monostate, grant_change, denial>;

    /// Actions requested by poll(). The caller must apply the grants before it
    /// sends the requests.
    struct plan
    {
        std::vector<grant_change> grants;
        std::vector<denial> denials;
        std::vector<request> requests;
    };

    /// \param start Increases with each start of this node.
    cold_client(core::node_id self, std::uint64_t start, cold_timing timing);

    auto set_timing(const cold_timing& timing) -> void;
    auto set_view(const member_view& view) -> void;

    /// \param demands Every cold upstream, as read from the schedulers after
    ///                all previous grants were passed to them.
    [[nodiscard]] auto poll(const std::vector<slot_demand>& demands,
                            core::time_point now) -> plan;

    [[nodiscard]] auto on_response(const core::node_id& sender,
                                   const cold_slot_response& response,
                                   core::time_point now) -> outcome;

    /// Handles a request, identified by its \a sequence, that got no response.
    [[nodiscard]] auto on_failure(const core::upstream_id& id,
                                  std::uint64_t sequence, core::time_point now)
        -> outcome;

private:
    struct pending_request
    {
        std::uint64_t sequence;
        core::node_id target;
        core::time_point sent;
    };
    struct upstream_state
    {
        core::pool_name pool;
        std::uint64_t min_valid_sequence = 0;
        std::uint32_t slots = 0;
        core::time_point expires = core::time_point::min();
        bool is_releasing = false;
        /// Attempts in flight as last reported to the coordinator.
        std::uint32_t reported_in_flight = 0;
        std::optional<pending_request> pending;
        core::time_point next_request = core::time_point::min();
        std::uint64_t last_poll = 0;
    };

    auto poll_upstream(upstream_state& state, const slot_demand& wanted,
                       core::time_point now, plan& planned) -> void;
    auto poll_without_demand(upstream_state& state, const slot_demand& wanted,
                             core::time_point now, plan& planned) -> void;
    auto add_request(upstream_state& state, const slot_demand& wanted,
                     core::time_point now, plan& planned) -> void;
    auto release_warm_upstreams(core::time_point now, plan& planned) -> void;

    core::node_id self;
    std::uint64_t start;
    cold_timing timing;
    std::vector<core::node_id> members;
    std::unordered_map<core::upstream_id, upstream_state> upstreams;
    std::uint64_t next_sequence = 1;
    std::uint64_t polls = 0;
};

} // namespace almondtiller::routing
