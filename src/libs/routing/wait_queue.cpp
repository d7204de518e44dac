#include "routing/wait_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondtiller::routing {

namespace {

/// Maximum number of attempts considered for one dispatch.
constexpr auto lookahead = 8U;
constexpr auto min_sweep_threshold = std::size_t(64);

auto latest_start(const attempt_request& item) -> core::time_point
{
    return item.deadline - item.min_budget;
}

auto weight_of(const attempt_request& item) -> double
{
    return double(std::max(item.workspace_weight, 1U));
}

} // namespace

wait_queue::wait_queue(std::uint32_t capacity) : capacity(capacity)
{}

auto wait_queue::set_capacity(std::uint32_t capacity) -> void
{
    this->capacity = capacity;
}

auto wait_queue::push(attempt_request item) -> std::optional<attempt_request>
{
    const auto number = this->next_sequence++;
    this->enqueue(item, number);
    this->items.emplace(number, std::move(item));
    if (this->items.size() <= this->capacity) {
        return std::nullopt;
    }
    return this->extract(this->least_urgent());
}

auto wait_queue::enqueue(const attempt_request& item, sequence number) -> void
{
    auto& level = this->classes[item.priority];
    auto& target_flow = level.flows[item.workspace];
    if (target_flow.items.empty()) {
        target_flow.workspace = item.workspace;
        target_flow.start_tag =
            std::max(target_flow.start_tag, level.virtual_time);
        level.ready.emplace(target_flow.start_tag, item.workspace);
    }
    target_flow.items.emplace(item.deadline, number);
    ++level.queued;
    auto& load = this->workspaces[item.workspace];
    ++load.queued;
    load.weight = std::max(item.workspace_weight, 1U);
    this->sequence_by_id.emplace(item.id, number);
    this->expiries.emplace(latest_start(item), number);
}

auto wait_queue::extract(sequence number) -> attempt_request
{
    auto node = this->items.extract(number);
    auto item = std::move(node.mapped());
    auto& level = this->classes[item.priority];
    auto& source_flow = level.flows[item.workspace];
    source_flow.items.erase({item.deadline, number});
    --level.queued;
    if (source_flow.items.empty()) {
        level.ready.erase({source_flow.start_tag, item.workspace});
    }
    auto load = this->workspaces.find(item.workspace);
    if (--load->second.queued == 0) {
        this->workspaces.erase(load);
    }
    this->sequence_by_id.erase(item.id);
    this->expiries.erase({latest_start(item), number});
    return item;
}

auto wait_queue::remove(const core::attempt_id& id)
    -> std::optional<attempt_request>
{
    const auto found = this->sequence_by_id.find(id);
    if (found == this->sequence_by_id.end()) {
        return std::nullopt;
    }
    return this->extract(found->second);
}

auto wait_queue::take_expired(core::time_point now)
    -> std::vector<attempt_request>
{
    auto taken = std::vector<attempt_request>();
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        taken.push_back(this->extract(this->expiries.begin()->second));
    }
    return taken;
}

auto wait_queue::take_all() -> std::vector<attempt_request>
{
    auto taken = std::vector<attempt_request>();
    while (!this->expiries.empty()) {
        taken.push_back(this->extract(this->expiries.begin()->second));
    }
    return taken;
}

auto wait_queue::class_order() const -> std::vector<std::int32_t>
{
    auto order = std::vector<std::int32_t>();
    for (const auto& [priority, level] : this->classes) {
        if (level.queued > 0) {
            order.push_back(priority);
        }
    }
    const auto is_overdue = [this](std::int32_t priority) {
        return this->classes.at(priority).turns_missed >= turns_before_lower;
    };
    std::stable_partition(order.begin(), order.end(), is_overdue);
    return order;
}

auto wait_queue::update_missed_turns(std::int32_t served) -> void
{
    for (auto& [priority, level] : this->classes) {
        const auto missed = priority != served && level.queued > 0;
        level.turns_missed = missed ? level.turns_missed + 1 : 0;
    }
}

auto wait_queue::take_next(const placer& place, double cost)
    -> std::optional<attempt_request>
{
    auto offered = 0U;
    for (const auto priority : this->class_order()) {
        auto& level = this->classes[priority];
        for (const auto& entry : level.ready) {
            const auto start_tag = entry.first;
            auto& candidate_flow = level.flows[entry.second];
            const auto number = candidate_flow.items.begin()->second;
            const auto outcome = place(this->items.at(number));
            if (outcome == placement::placed) {
                this->update_missed_turns(priority);
                auto item = this->extract(number);
                level.virtual_time = std::max(level.virtual_time, start_tag);
                this->advance_start(level, candidate_flow,
                                    cost / weight_of(item));
                this->end_busy_period(level);
                return item;
            }
            if (outcome == placement::blocked || ++offered >= lookahead) {
                return std::nullopt;
            }
        }
    }
    return std::nullopt;
}

auto wait_queue::advance_start(priority_class& level, flow& changed,
                               double step) -> void
{
    const auto is_ready = !changed.items.empty();
    if (is_ready) {
        level.ready.erase({changed.start_tag, changed.workspace});
    }
    changed.start_tag = std::max(changed.start_tag + step, 0.0);
    level.max_start_tag = std::max(level.max_start_tag, changed.start_tag);
    if (is_ready) {
        level.ready.emplace(changed.start_tag, changed.workspace);
    }
    this->remove_idle_flows(level);
}

// An idle flow whose start tag is not ahead of the virtual time can be removed:
// it would restart at the virtual time in any case.
auto wait_queue::remove_idle_flows(priority_class& level) -> void
{
    if (level.flows.size() <=
        std::max(level.sweep_threshold, min_sweep_threshold)) {
        return;
    }
    std::erase_if(level.flows, [&level](const auto& entry) {
        return entry.second.items.empty() &&
               entry.second.start_tag <= level.virtual_time;
    });
    level.sweep_threshold = 2 * level.flows.size();
}

auto wait_queue::end_busy_period(priority_class& level) -> void
{
    if (level.queued > 0) {
        return;
    }
    level.virtual_time = std::max(level.virtual_time, level.max_start_tag);
    level.flows.clear();
    level.sweep_threshold = 0;
}

auto wait_queue::charge(const attempt_request& item, double correction) -> void
{
    auto& level = this->classes[item.priority];
    const auto found = level.flows.find(item.workspace);
    if (found != level.flows.end()) {
        this->advance_start(level, found->second, correction / weight_of(item));
        return;
    }
    if (correction > 0.0) {
        auto& new_flow = level.flows[item.workspace];
        new_flow.workspace = item.workspace;
        new_flow.start_tag = level.virtual_time + correction / weight_of(item);
    }
}

auto wait_queue::least_urgent() const -> sequence
{
    auto largest = this->workspaces.begin();
    const auto share = [](const auto& entry) {
        return double(entry.second.queued) / double(entry.second.weight);
    };
    for (auto next = largest; next != this->workspaces.end(); ++next) {
        if (share(*next) > share(*largest)) {
            largest = next;
        }
    }
    for (auto level = this->classes.rbegin(); level != this->classes.rend();
         ++level) {
        const auto found = level->second.flows.find(largest->first);
        if (found != level->second.flows.end() &&
            !found->second.items.empty()) {
            return std::prev(found->second.items.end())->second;
        }
    }
    return this->next_sequence - 1;
}

auto wait_queue::attempts_ahead(const attempt_request& item) const -> double
{
    auto at_priority = std::size_t(0);
    for (const auto& [priority, level] : this->classes) {
        at_priority += priority >= item.priority ? level.queued : 0;
    }
    auto weights = 0.0;
    for (const auto& [name, load] : this->workspaces) {
        weights += name == item.workspace ? 0.0 : double(load.weight);
    }
    const auto own_turns = double(this->queued(item.workspace));
    const auto weight = weight_of(item);
    const auto fair = own_turns + (own_turns + 1.0) * weights / weight;
    return std::min(double(at_priority), fair);
}

auto wait_queue::queued(const core::workspace_name& workspace) const
    -> std::uint32_t
{
    const auto found = this->workspaces.find(workspace);
    return found == this->workspaces.end() ? 0 : found->second.queued;
}

auto wait_queue::size() const -> std::size_t
{
    return this->items.size();
}

auto wait_queue::next_expiry() const -> std::optional<core::time_point>
{
    if (this->expiries.empty()) {
        return std::nullopt;
    }
    return this->expiries.begin()->first;
}

} // namespace almondtiller::routing
