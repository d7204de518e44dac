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

/// The whole state that an engine is told to take on.
struct desired_state
{
    /// Model names with their versions, like planner@7.
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string role;

    auto operator==(const desired_state&) const -> bool = default;
};

/// What an engine of a pool is to be like.
struct pool_goal
{
    core::pool_name pool;
    desired_state desired;

    auto operator==(const pool_goal&) const -> bool = default;
};

/// What is known of one engine, from the instance list and its load report.
struct engine_view
{
    core::upstream_id id;
    core::pool_name pool;
    /// Live, and its availability zone receives work.
    bool is_serving = false;
    bool is_loading = false;
    /// What the engine reports to have loaded.
    desired_state reported;

    auto operator==(const engine_view&) const -> bool = default;
};

/// Tell an engine to take on a state. Harmless when repeated.
struct placement_order
{
    core::upstream_id engine;
    desired_state desired;

    auto operator==(const placement_order&) const -> bool = default;
};

/// Bounds of placement.
struct placement_limits
{
    /// Loads that begin within one interval, by the weight store's rate.
    std::uint32_t loads_per_interval = 1;
    core::duration interval{};
    /// The largest share of a pool's serving engines that load at a time; one
    /// may always load.
    double max_loading_share = 0.34;
    /// When an order without a visible effect is given again.
    core::duration repeat_after{};

    auto operator==(const placement_limits&) const -> bool = default;
};

/// Plans orders that bring engines to the states of their pools. An engine
/// with loaded models gets an order only while another engine of its pool
/// stays as it is and serves all that the goal names, or all that the engine
/// has. An engine that serves its pool alone loads beside what it has.
class placement_planner
{
public:
    explicit placement_planner(placement_limits limits);

    /// \param engines Every engine of the region, each once.
    /// \return The orders to give now, in order of urgency.
    auto plan(const std::vector<pool_goal>& goals,
              const std::vector<engine_view>& engines, core::time_point now)
        -> std::vector<placement_order>;

    /// Forgets every order, for a node that takes the lease over.
    auto reset() -> void;

private:
    struct given_order
    {
        desired_state desired;
        core::time_point given_at;
    };

    auto plan_pool(const pool_goal& goal,
                   const std::vector<const engine_view*>& engines,
                   core::time_point now, std::vector<placement_order>& orders)
        -> void;
    auto forget_settled(const std::vector<engine_view>& engines) -> void;
    [[nodiscard]] auto is_under_way(const engine_view& engine,
                                    core::time_point now) const -> bool;
    [[nodiscard]] auto
    may_stop_serving(const engine_view& engine, const pool_goal& goal,
                     const std::vector<const engine_view*>& engines) const
        -> bool;
    auto take_load_token(core::time_point now) -> bool;

    placement_limits limits;
    std::map<core::upstream_id, given_order> given;
    core::time_point interval_start;
    std::uint32_t loads_in_interval = 0;
};

} // namespace almondtiller::orders
