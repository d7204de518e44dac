#include "routing/wait_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondtiller::routing {

namespace {

/// Maximum number of attempts considered for one dispatch.
constexpr auto lookahead = 8U;
constexpr auto idle_flows_kept = std::size_t(64);

auto latest_start(const work& item) -> core::time_point
{
    return item.deadline - item.min_budget;
}

auto weight_of(const work& item) -> double
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

auto wait_queue::push(work item) -> std::optional<work>
{
    const auto number = this->next_sequence++;
    this->enqueue(item, number);
    this->items.emplace(number, std::move(item));
    if (this->items.size() <= this->capacity) {
        return std::nullopt;
    }
    return this->extract(this->least_urgent());
}

auto wait_queue::enqueue(const work& item, sequence number) -> void
{
    auto& of = this->classes[item.priority];
    auto& joined = of.flows[item.workspace];
    if (joined.items.empty()) {
        joined.workspace = item.workspace;
        joined.start = std::max(joined.start, of.virtual_time);
        of.ready.emplace(joined.start, item.workspace);
    }
    joined.items.emplace(item.deadline, number);
    ++of.waiting;
    auto& load = this->workspaces[item.workspace];
    ++load.waiting;
    load.weight = std::max(item.workspace_weight, 1U);
    this->numbers.emplace(item.id, number);
    this->expiries.emplace(latest_start(item), number);
}

auto wait_queue::extract(sequence number) -> work
{
    auto node = this->items.extract(number);
    auto item = std::move(node.mapped());
    auto& of = this->classes[item.priority];
    auto& left = of.flows[item.workspace];
    left.items.erase({item.deadline, number});
    --of.waiting;
    if (left.items.empty()) {
        of.ready.erase({left.start, item.workspace});
    }
    auto load = this->workspaces.find(item.workspace);
    if (--load->second.waiting == 0) {
        this->workspaces.erase(load);
    }
    this->numbers.erase(item.id);
    this->expiries.erase({latest_start(item), number});
    return item;
}

auto wait_queue::remove(const core::attempt_id& id) -> std::optional<work>
{
    const auto found = this->numbers.find(id);
    if (found == this->numbers.end()) {
        return std::nullopt;
    }
    return this->extract(found->second);
}

auto wait_queue::take_expired(core::time_point now) -> std::vector<work>
{
    auto taken = std::vector<work>();
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        taken.push_back(this->extract(this->expiries.begin()->second));
    }
    return taken;
}

auto wait_queue::take_all() -> std::vector<work>
{
    auto taken = std::vector<work>();
    while (!this->expiries.empty()) {
        taken.push_back(this->extract(this->expiries.begin()->second));
    }
    return taken;
}

auto wait_queue::class_order() const -> std::vector<std::int32_t>
{
    auto order = std::vector<std::int32_t>();
    for (const auto& [priority, of] : this->classes) {
        if (of.waiting > 0) {
            order.push_back(priority);
        }
    }
    const auto is_overdue = [this](std::int32_t priority) {
        return this->classes.at(priority).turns_missed >= turns_before_lower;
    };
    std::stable_partition(order.begin(), order.end(), is_overdue);
    return order;
}

auto wait_queue::count_turn(std::int32_t served) -> void
{
    for (auto& [priority, of] : this->classes) {
        const auto missed = priority != served && of.waiting > 0;
        of.turns_missed = missed ? of.turns_missed + 1 : 0;
    }
}

auto wait_queue::take_next(const placer& place, double cost)
    -> std::optional<work>
{
    auto offered = 0U;
    for (const auto priority : this->class_order()) {
        auto& of = this->classes[priority];
        for (const auto& entry : of.ready) {
            const auto start = entry.first;
            auto& offering = of.flows[entry.second];
            const auto number = offering.items.begin()->second;
            const auto outcome = place(this->items.at(number));
            if (outcome == placement::placed) {
                this->count_turn(priority);
                auto item = this->extract(number);
                of.virtual_time = std::max(of.virtual_time, start);
                this->advance_start(of, offering, cost / weight_of(item));
                this->end_busy_period(of);
                return item;
            }
            if (outcome == placement::blocked || ++offered >= lookahead) {
                return std::nullopt;
            }
        }
    }
    return std::nullopt;
}

auto wait_queue::advance_start(priority_class& of, flow& changed, double step)
    -> void
{
    const auto is_ready = !changed.items.empty();
    if (is_ready) {
        of.ready.erase({changed.start, changed.workspace});
    }
    changed.start = std::max(changed.start + step, 0.0);
    of.largest_start = std::max(of.largest_start, changed.start);
    if (is_ready) {
        of.ready.emplace(changed.start, changed.workspace);
    }
    this->forget_idle_flows(of);
}

// An idle flow whose start tag is not ahead of the virtual time can be removed:
// it would restart at the virtual time in any case.
auto wait_queue::forget_idle_flows(priority_class& of) -> void
{
    if (of.flows.size() <= std::max(of.sweep_at, idle_flows_kept)) {
        return;
    }
    std::erase_if(of.flows, [&of](const auto& entry) {
        return entry.second.items.empty() &&
               entry.second.start <= of.virtual_time;
    });
    of.sweep_at = 2 * of.flows.size();
}

auto wait_queue::end_busy_period(priority_class& of) -> void
{
    if (of.waiting > 0) {
        return;
    }
    of.virtual_time = std::max(of.virtual_time, of.largest_start);
    of.flows.clear();
    of.sweep_at = 0;
}

auto wait_queue::charge(const work& item, double correction) -> void
{
    auto& of = this->classes[item.priority];
    const auto found = of.flows.find(item.workspace);
    if (found != of.flows.end()) {
        this->advance_start(of, found->second, correction / weight_of(item));
        return;
    }
    if (correction > 0.0) {
        auto& returned = of.flows[item.workspace];
        returned.workspace = item.workspace;
        returned.start = of.virtual_time + correction / weight_of(item);
    }
}

auto wait_queue::least_urgent() const -> sequence
{
    auto largest = this->workspaces.begin();
    const auto share = [](const auto& entry) {
        return double(entry.second.waiting) / double(entry.second.weight);
    };
    for (auto next = largest; next != this->workspaces.end(); ++next) {
        if (share(*next) > share(*largest)) {
            largest = next;
        }
    }
    for (auto of = this->classes.rbegin(); of != this->classes.rend(); ++of) {
        const auto found = of->second.flows.find(largest->first);
        if (found != of->second.flows.end() && !found->second.items.empty()) {
            return std::prev(found->second.items.end())->second;
        }
    }
    return this->next_sequence - 1;
}

auto wait_queue::attempts_ahead(const work& item) const -> double
{
    auto at_priority = std::size_t(0);
    for (const auto& [priority, of] : this->classes) {
        at_priority += priority >= item.priority ? of.waiting : 0;
    }
    auto weights = 0.0;
    for (const auto& [name, load] : this->workspaces) {
        weights += name == item.workspace ? 0.0 : double(load.weight);
    }
    const auto own_turns = double(this->waiting(item.workspace));
    const auto weight = weight_of(item);
    const auto fair = own_turns + (own_turns + 1.0) * weights / weight;
    return std::min(double(at_priority), fair);
}

auto wait_queue::waiting(const core::workspace_name& workspace) const
    -> std::uint32_t
{
    const auto found = this->workspaces.find(workspace);
    return found == this->workspaces.end() ? 0 : found->second.waiting;
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
