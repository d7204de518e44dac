#pragma once

#include "dispatch/serving_state.h"
#include "event/timer.h"
#include "rollout/rollout_controller.h"
#include "services/rollout/order_book.h"
#include "services/rollout/order_execution.h"
#include "services/rollout/rollout_hooks.h"
#include "services/rollout/rollout_messages.h"
#include "services/rollout/traffic_counts.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace almondtiller::rollout {

/// Carries out the orders in the store at one node: reports to the coordinator
/// of each order, applies its directives, and coordinates the orders for which
/// this node is chosen. The status in the store is written by the coordinator.
class rollout_service
{
public:
    /// \param incarnation Distinguishes this process from earlier ones of the
    ///        node.
    rollout_service(event::loop& event_loop,
                    const dispatch::serving_state& serving_state,
                    core::node_id self, std::string incarnation,
                    exposure_limits limits, rollout_hooks hooks);
    ~rollout_service();
    rollout_service(const rollout_service&) = delete;
    auto operator=(const rollout_service&) -> rollout_service& = delete;

    /// Applies all orders in the store.
    auto on_orders(const std::map<std::string, adapter::stored_object>& objects)
        -> void;

    /// Applies changes of the configuration and the upstreams.
    auto refresh() -> void;

    /// Handles the report of a node.
    /// \return The response; empty if this node cannot tell the newest
    ///         directive.
    auto on_message(const std::string& body) -> std::string;

    /// \return Rules for the next piece of work of a service; none if any
    ///         upstream may get it.
    [[nodiscard]] auto rules(const serving::service_name& service,
                             core::time_point now)
        -> std::vector<dispatch::upstream_rule>;
    auto record_given(const serving::service_name& service,
                      const core::upstream_id& upstream, core::time_point now)
        -> void;

    /// \return Whether work that was placed on an upstream may be sent there.
    [[nodiscard]] auto may_send(const serving::service_name& service,
                                const core::upstream_id& upstream,
                                core::time_point now) const -> bool;
    /// \return Whether the upstream counts toward the capacity of the service.
    [[nodiscard]] auto is_in_use(const serving::service_name& service,
                                 const core::upstream_id& upstream) const
        -> bool;

    /// Records the send of a request or stage call.
    /// \param route Which answers are counted together.
    /// \return The record of the attempt, open until it is destroyed.
    [[nodiscard]] auto begin(const core::upstream_id& upstream,
                             std::string route)
        -> std::shared_ptr<attempt_record>;

    /// What metrics show of an order.
    struct order_view
    {
        known_order known;
        directive applied;
        std::uint32_t open_at_old = 0;
        traffic_counts::order_counts counts;

        auto operator==(const order_view&) const -> bool = default;
    };
    [[nodiscard]] auto views() const -> std::vector<order_view>;

private:
    /// An order that is carried out, or that has ended and binds.
    struct carried_order
    {
        order_execution execution;
        status_writer writer;
        /// When the coordinator last answered a report.
        core::time_point last_answer;
        core::time_point last_report;
        bool is_reporting = false;
        /// Present at the coordinator while the order runs.
        std::optional<rollout_controller> controller;
        /// State in which the order has ended and that the gate applies.
        std::optional<order_state> ended_as;
        /// Directive of the last log line.
        directive logged;
        /// When the nodes that have reported to this coordinator last did.
        std::map<core::node_id, core::time_point> reported_at;
    };

    auto sync() -> void;
    /// Ends the orders that were removed or replaced.
    /// \return Whether there were any.
    auto drop_orders() -> bool;
    /// Starts the orders that have begun, and applies how others have ended.
    /// \return Whether one was started.
    auto start_orders() -> bool;
    auto refresh(carried_order& running) const -> void;
    auto start(const known_order& known) -> void;
    auto tick() -> void;
    auto tick(carried_order& carried, const known_order& known,
              core::time_point now) -> void;
    auto coordinate(carried_order& carried, core::time_point now) -> void;
    auto decide(carried_order& carried, core::time_point now) -> void;
    auto send_report(carried_order& carried, const core::node_id& coordinator,
                     core::time_point now) -> void;
    auto on_directive(carried_order& carried, const directive& newer,
                      core::time_point now) -> void;
    auto end(carried_order& carried, order_state state, std::string_view source)
        -> void;
    auto log_decision(carried_order& carried, const decision& decided) -> void;
    auto log_invalid(const std::vector<invalid_order>& invalid) -> void;
    [[nodiscard]] auto make_report(const carried_order& carried,
                                   core::time_point now) const -> node_report;
    [[nodiscard]] auto make_facts() const -> order_facts;
    [[nodiscard]] auto make_writer(const order& written) -> status_writer;
    [[nodiscard]] auto room(const order_execution& execution) const
        -> version_room;
    [[nodiscard]] auto placers(const serving::service_name& service) const
        -> std::uint32_t;
    /// Records which nodes are alive.
    auto note_nodes(core::time_point now) -> void;
    /// \return The nodes whose reports count: those alive, those that still
    ///         report although they leave, and those that were lost recently.
    [[nodiscard]] auto awaited(const carried_order& carried,
                               core::time_point now) const
        -> std::set<core::node_id>;
    [[nodiscard]] auto find(const serving::service_name& service) const
        -> carried_order*;
    [[nodiscard]] auto report_interval() const -> core::duration;

    event::loop& event_loop;
    const dispatch::serving_state& serving_state;
    core::node_id self;
    std::string incarnation;
    exposure_limits limits;
    rollout_hooks hooks;
    std::shared_ptr<traffic_counts> counts;
    order_book book;
    std::map<serving::service_name, std::shared_ptr<carried_order>> carried;
    /// When each node was last alive, and the number of registered nodes.
    std::map<core::node_id, core::time_point> last_alive;
    std::size_t registered_nodes = 1;
    std::size_t alive_nodes = 1;
    event::timer tick_timer;
    bool is_ticking = false;
};

} // namespace almondtiller::rollout
