#include "orders/placement_planner.h"

#include <algorithm>
#include <cmath>

namespace almondtiller::orders {

namespace {

auto includes_all(const std::set<std::string>& loaded,
                  const std::set<std::string>& wanted) -> bool
{
    return std::ranges::includes(loaded, wanted);
}

auto needs_load(const engine_view& engine, const desired_state& desired) -> bool
{
    return !includes_all(engine.reported.models, desired.models) ||
           !includes_all(engine.reported.adapters, desired.adapters);
}

/// \return The pool's desired state. For the only serving engine of a pool,
///         also its current models until it has loaded those of the goal.
auto next_state(const engine_view& engine, const pool_goal& goal,
                std::uint32_t serving) -> desired_state
{
    auto next = goal.desired;
    const auto& loaded = engine.reported.models;
    if (serving == 1 && !includes_all(loaded, goal.desired.models)) {
        next.models.insert(loaded.begin(), loaded.end());
    }
    return next;
}

} // namespace

placement_planner::placement_planner(placement_limits limits) : limits(limits)
{}

auto placement_planner::plan(const std::vector<pool_goal>& goals,
                             const std::vector<engine_view>& engines,
                             core::time_point now)
    -> std::vector<placement_order>
{
    this->remove_completed(engines);
    auto orders = std::vector<placement_order>();
    for (const auto& goal : goals) {
        auto members = std::vector<const engine_view*>();
        for (const auto& engine : engines) {
            if (engine.pool == goal.pool) {
                members.push_back(&engine);
            }
        }
        this->plan_pool(goal, members, now, orders);
    }
    return orders;
}

auto placement_planner::reset() -> void
{
    this->issued.clear();
}

auto placement_planner::plan_pool(
    const pool_goal& goal, const std::vector<const engine_view*>& engines,
    core::time_point now, std::vector<placement_order>& orders) -> void
{
    auto serving = 0U;
    auto loading = 0U;
    for (const auto* engine : engines) {
        serving += engine->is_serving ? 1U : 0U;
        loading += this->has_change_in_progress(*engine, now) ? 1U : 0U;
    }
    const auto allowed_loading =
        std::floor(this->limits.max_loading_share * serving);
    const auto max_loading = std::max(1U, unsigned(allowed_loading));
    for (const auto* engine : engines) {
        if (!engine->is_serving || this->has_change_in_progress(*engine, now)) {
            continue;
        }
        const auto next = next_state(*engine, goal, serving);
        if (next == engine->reported || loading >= max_loading ||
            !this->may_stop_serving(*engine, goal, engines)) {
            continue;
        }
        if (needs_load(*engine, next) && !this->acquire_load_token(now)) {
            continue;
        }
        ++loading;
        this->issued[engine->id] = {next, now};
        orders.push_back({engine->id, next});
    }
}

auto placement_planner::remove_completed(
    const std::vector<engine_view>& engines) -> void
{
    std::erase_if(this->issued, [&engines](const auto& entry) {
        const auto engine =
            std::ranges::find(engines, entry.first, &engine_view::id);
        return engine == engines.end() ||
               (!engine->is_loading &&
                engine->reported == entry.second.desired);
    });
}

auto placement_planner::has_change_in_progress(const engine_view& engine,
                                               core::time_point now) const
    -> bool
{
    if (engine.is_loading) {
        return true;
    }
    const auto found = this->issued.find(engine.id);
    return found != this->issued.end() &&
           now < found->second.issued_at + this->limits.repeat_after;
}

auto placement_planner::may_stop_serving(
    const engine_view& engine, const pool_goal& goal,
    const std::vector<const engine_view*>& engines) const -> bool
{
    if (engine.reported.models.empty()) {
        return true;
    }
    auto has_other_serving = false;
    for (const auto* other : engines) {
        if (other == &engine || !other->is_serving) {
            continue;
        }
        has_other_serving = true;
        const auto is_unchanged =
            !other->is_loading && !this->issued.contains(other->id);
        const auto& loaded = other->reported.models;
        if (is_unchanged && (includes_all(loaded, goal.desired.models) ||
                             includes_all(loaded, engine.reported.models))) {
            return true;
        }
    }
    return !has_other_serving;
}

auto placement_planner::acquire_load_token(core::time_point now) -> bool
{
    if (now >= this->interval_start + this->limits.interval) {
        this->interval_start = now;
        this->loads_in_interval = 0;
    }
    if (this->loads_in_interval >= this->limits.loads_per_interval) {
        return false;
    }
    ++this->loads_in_interval;
    return true;
}

} // namespace almondtiller::orders
