#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fairness/recent_sum.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondtiller::fairness {

/// Share of the recent capacity that work of a lower priority may take before
/// more urgent work, so that it is not late.
inline constexpr auto max_advanced_share = 0.25;

struct waiting_work;

/// The work of one workspace at one priority, as a fair_queue_order keeps it.
struct flow
{
    core::workspace_name workspace;
    int priority = 0;
    double weight = 1;
    /// Virtual time at which the flow's next work starts.
    double start_tag = 0;
    /// Cost of the work that was recently dispatched.
    recent_sum served;
    std::size_t waiting = 0;
    /// The part of it that can be on time.
    std::size_t on_time = 0;
    /// Cost of the waiting work; while tags are assigned, of that before the
    /// current one.
    double cost_before = 0;
    /// The flow's last work seen, while tags are assigned.
    const waiting_work* last = nullptr;
    /// The last arrangement in which the flow had work.
    std::uint64_t round = 0;
};

/// Work that waits, as the order needs it.
struct waiting_work
{
    fairness::flow* flow = nullptr;
    /// Unique number of the work, which breaks ties.
    std::uint64_t ticket = 0;
    /// Position in the container of the caller.
    std::size_t index = 0;
    /// Expected cost, greater than 0; the unit is that of charge().
    double cost = 1;
    core::time_point due;
    /// Work that starts after this time is late.
    core::time_point latest_start;
    /// Whether the work can no longer be on time.
    bool is_late = false;
    /// Whether a part of the work was dispatched and the whole was charged.
    /// Such work keeps the start_tag and advanced_rank that it had then, as it
    /// would otherwise end long after it began.
    bool is_charged = false;

    // Set by arrange().
    static constexpr auto not_advanced =
        std::numeric_limits<std::uint32_t>::max();
    double start_tag = 0;
    /// The rank of the work's priority among those that are advanced.
    std::uint32_t advanced_rank = not_advanced;

    /// \return Whether the work goes before more urgent work in order not to be
    ///         late.
    [[nodiscard]] auto is_advanced() const -> bool
    {
        return this->advanced_rank != not_advanced;
    }
};

/// What a workspace gets at one priority, for the log and the metrics.
struct workspace_share
{
    /// Share of the recently dispatched cost of the priority, from 0 to 1.
    double share = 0;
    /// The share that its weight gives it among the workspaces that have work
    /// waiting, itself included.
    double entitled = 1;
    /// Its waiting work.
    std::size_t waiting = 0;

    auto operator==(const workspace_share&) const -> bool = default;
};

/// Orders waiting work so that the workspaces of a priority share the capacity
/// by weight and cost: start-time fair queueing (Goyal, Vin, Cheng: Start-time
/// Fair Queuing, SIGCOMM 1996), where a workspace is charged when its work is
/// dispatched. Late work goes last, and lower priorities are advanced by up to
/// a quarter of the recent capacity when they would otherwise be late. Load
/// pattern: a burst of one large workspace beside small ones, with more work
/// than the upstreams can serve.
class fair_queue_order
{
public:
    using flow_ref = std::shared_ptr<fairness::flow>;

    /// \return The flow of a workspace at a priority, which the caller holds
    ///         while it has waiting work of the flow.
    /// \param weight Replaces the flow's earlier weight; limited to 0.001 to
    ///        1000.
    auto flow_of(const core::workspace_name& workspace, int priority,
                 double weight) -> flow_ref;

    /// Sorts all waiting work in the order in which it is to be served. Faster
    /// if \a works is in the order of the last call with new work at its end.
    auto arrange(std::vector<waiting_work>& works, core::time_point now)
        -> void;

    /// Charges dispatched work to its flow.
    /// \param cost The cost as known at the dispatch; may differ from the
    ///        expected one.
    auto charge(fairness::flow& served, double cost, bool is_advanced,
                core::time_point now) -> void;

    /// Records that one work of the flow no longer waits, after charge() if it
    /// was dispatched.
    auto on_left(fairness::flow& left, bool is_late) -> void;

    /// Estimates what arrives while \a work waits and goes before it: of each
    /// other workspace as much as it got lately, but no more than its share.
    /// \param work Work of the last arrangement.
    /// \return Cost.
    [[nodiscard]] auto overtaking_cost(const waiting_work& work,
                                       core::duration wait,
                                       core::time_point now) const -> double;

    /// \return The share of the recently dispatched cost that lower priorities
    ///         than \a priority took by being advanced, from 0 to 1.
    [[nodiscard]] auto advanced_share_below(int priority,
                                            core::time_point now) const
        -> double;

    [[nodiscard]] auto share_of(const core::workspace_name& workspace,
                                int priority, core::time_point now) const
        -> workspace_share;

private:
    /// All flows of one priority.
    struct level
    {
        double virtual_time = 0;
        double max_tag = 0;
        std::size_t waiting = 0;
        /// Cost of the work that was recently advanced.
        recent_sum advanced;
        std::unordered_map<core::workspace_name, flow_ref> flows;
        /// Number of flows at which idle ones are removed.
        std::size_t sweep_at = 0;

        // Sums over the work that can be on time, for one arrangement.
        std::size_t on_time = 0;
        double on_time_cost = 0;
        core::time_point earliest;
    };

    auto begin_round(const std::vector<waiting_work>& works) -> void;
    /// \return Whether the works of each flow are in their order; otherwise the
    ///         tags are incomplete.
    auto assign_tags(std::vector<waiting_work>& works) -> bool;
    auto sum_levels(const std::vector<waiting_work>& works) -> void;
    /// Advances the priorities whose work would otherwise be late.
    auto advance(std::vector<waiting_work>& works, core::time_point now)
        -> void;
    [[nodiscard]] auto is_at_risk(const level& yielding,
                                  core::time_point now) const -> bool;
    auto remove_idle_flows(level& swept) -> void;

    std::map<int, level> levels;
    /// The flows with work in the last arrangement.
    std::vector<flow_ref> active;
    std::uint64_t round = 0;
    recent_sum served;
    recent_sum advanced;
    /// All work that waits, and since when there has been some.
    std::size_t waiting = 0;
    std::optional<core::time_point> contended_since;
    /// Cost per second that was dispatched while work waited; 0 if unknown.
    double capacity_rate = 0;
};

} // namespace almondtiller::fairness
