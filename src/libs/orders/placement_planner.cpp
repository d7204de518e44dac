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
    this->forget_settled(engines);
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
    this->given.clear();
}

auto placement_planner::plan_pool(
    const pool_goal& goal, const std::vector<const engine_view*>& engines,
    core::time_point now, std::vector<placement_order>& orders) -> void
{
    auto serving = 0U;
    auto loading = 0U;
    for (const auto* engine : engines) {
        serving += engine->is_serving ? 1U : 0U;
        loading += this->is_under_way(*engine, now) ? 1U : 0U;
    }
    const auto share = std::floor(this->limits.max_loading_share * serving);
    const auto most_loading = std::max(1U, unsigned(share));
    for (const auto* engine : engines) {
        if (!engine->is_serving || this->is_under_way(*engine, now)) {
            continue;
        }
        const auto next = next_state(*engine, goal, serving);
        if (next == engine->reported || loading >= most_loading ||
            !this->may_stop_serving(*engine, goal, engines)) {
            continue;
        }
        if (needs_load(*engine, next) && !this->take_load_token(now)) {
            continue;
        }
        ++loading;
        this->given[engine->id] = {next, now};
        orders.push_back({engine->id, next});
    }
}

auto placement_planner::forget_settled(const std::vector<engine_view>& engines)
    -> void
{
    std::erase_if(this->given, [&engines](const auto& entry) {
        const auto engine =
            std::ranges::find(engines, entry.first, &engine_view::id);
        return engine == engines.end() ||
               (!engine->is_loading &&
                engine->reported == entry.second.desired);
    });
}

auto placement_planner::is_under_way(const engine_view& engine,
                                     core::time_point now) const -> bool
{
    if (engine.is_loading) {
        return true;
    }
    const auto found = this->given.find(engine.id);
    return found != this->given.end() &&
           now < found->second.given_at + this->limits.repeat_after;
}

auto placement_planner::may_stop_serving(
    const engine_view& engine, const pool_goal& goal,
    const std::vector<const engine_view*>& engines) const -> bool
{
    if (engine.reported.models.empty()) {
        return true;
    }
    auto has_other = false;
    for (const auto* other : engines) {
        if (other == &engine || !other->is_serving) {
            continue;
        }
        has_other = true;
        const auto stays =
            !other->is_loading && !this->given.contains(other->id);
        const auto& loaded = other->reported.models;
        if (stays && (includes_all(loaded, goal.desired.models) ||
                      includes_all(loaded, engine.reported.models))) {
            return true;
        }
    }
    return !has_other;
}

auto placement_planner::take_load_token(core::time_point now) -> bool
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
