#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondtiller::orders {

/// The complete state that an order requests from an engine.
struct desired_state
{
    /// Model names with versions, such as planner@7.
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string role;

    auto operator==(const desired_state&) const -> bool = default;
};

/// The desired state of every engine of a pool.
struct pool_goal
{
    core::pool_name pool;
    desired_state desired;

    auto operator==(const pool_goal&) const -> bool = default;
};

/// Observed state of one engine, from the instance list and the engine's load
/// report.
struct engine_view
{
    core::upstream_id id;
    core::pool_name pool;
    /// The engine is alive and its availability zone receives work.
    bool is_serving = false;
    bool is_loading = false;
    /// The state that the engine reports as loaded.
    desired_state reported;

    auto operator==(const engine_view&) const -> bool = default;
};

/// An order to an engine to change to a state. Orders are idempotent.
struct placement_order
{
    core::upstream_id engine;
    desired_state desired;

    auto operator==(const placement_order&) const -> bool = default;
};

/// Limits on concurrent and repeated placement orders.
struct placement_limits
{
    /// Maximum number of loads that start within one interval. The limit
    /// follows from the rate of the weight store.
    std::uint32_t loads_per_interval = 1;
    core::duration interval{};
    /// Maximum share of a pool's serving engines that load at the same time.
    /// One engine may always load.
    double max_loading_share = 0.34;
    /// Time after which an order is sent again when the engine has neither
    /// started to load nor reported the desired state.
    core::duration repeat_after{};

    auto operator==(const placement_limits&) const -> bool = default;
};

/// Plans orders that bring engines to the desired states of their pools. An
/// engine with loaded models gets an order only while another serving engine
/// of its pool has no change in progress and has loaded all models of the goal
/// or all models of this engine. The only serving engine of a pool loads the
/// new models in addition to its current ones.
class placement_planner
{
public:
    explicit placement_planner(placement_limits limits);

    /// \param engines Every engine of the region, each once.
    /// \return The orders to send now, in order of urgency.
    auto plan(const std::vector<pool_goal>& goals,
              const std::vector<engine_view>& engines, core::time_point now)
        -> std::vector<placement_order>;

    /// Discards the outstanding orders. Used by a node that takes over the
    /// lease.
    auto reset() -> void;

private:
    struct issued_order
    {
        desired_state desired;
        core::time_point issued_at;
    };

    auto plan_pool(const pool_goal& goal,
                   const std::vector<const engine_view*>& engines,
                   core::time_point now, std::vector<placement_order>& orders)
        -> void;
    auto remove_completed(const std::vector<engine_view>& engines) -> void;
    [[nodiscard]] auto has_change_in_progress(const engine_view& engine,
                                              core::time_point now) const
        -> bool;
    [[nodiscard]] auto
    may_stop_serving(const engine_view& engine, const pool_goal& goal,
                     const std::vector<const engine_view*>& engines) const
        -> bool;
    auto acquire_load_token(core::time_point now) -> bool;

    placement_limits limits;
    std::map<core::upstream_id, issued_order> issued;
    core::time_point interval_start;
    std::uint32_t loads_in_interval = 0;
};

} // namespace almondtiller::orders
