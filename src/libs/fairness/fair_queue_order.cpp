#include "fairness/fair_queue_order.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::fairness {

namespace {

/// Longest time between two decisions of an owner; work that becomes late
/// within this time may not get another chance.
constexpr auto decision_interval = core::milliseconds(40);
/// Weights outside of this range would make tags lose their precision.
constexpr auto min_weight = 0.001;
constexpr auto max_weight = 1000.0;
/// Idle flows of a priority are removed when their number has doubled since the
/// last time, but not below this number.
constexpr auto min_flows_to_sweep = std::size_t(64);
/// Up to this many works out of order are inserted one by one; more are sorted.
constexpr auto max_insertions = 32;

auto precedes_in_flow(const waiting_work& left, const waiting_work& right)
    -> bool
{
    return std::tie(left.is_late, left.due, left.ticket) <
           std::tie(right.is_late, right.due, right.ticket);
}

auto precedes(const waiting_work& left, const waiting_work& right) -> bool
{
    return std::tie(left.is_late, left.advanced_rank, left.flow->priority,
                    left.start_tag, left.due, left.ticket) <
           std::tie(right.is_late, right.advanced_rank, right.flow->priority,
                    right.start_tag, right.due, right.ticket);
}

/// Sorts works that are mostly in order, except for some at the end.
auto sort_mostly_sorted(std::vector<waiting_work>& works) -> void
{
    auto next = std::is_sorted_until(works.begin(), works.end(), precedes);
    if (works.end() - next > max_insertions) {
        std::sort(works.begin(), works.end(), precedes);
        return;
    }
    for (; next != works.end(); ++next) {
        const auto place =
            std::upper_bound(works.begin(), next, *next, precedes);
        std::rotate(place, next, next + 1);
    }
}

} // namespace

auto fair_queue_order::flow_of(const core::workspace_name& workspace,
                               int priority, double weight) -> flow_ref
{
    auto& found_level = this->levels[priority];
    auto& found = found_level.flows[workspace];
    if (!found) {
        found = std::make_shared<fairness::flow>();
        found->workspace = workspace;
        found->priority = priority;
        found->start_tag = found_level.virtual_time;
    }
    found->weight = std::clamp(weight, min_weight, max_weight);
    auto result = found;
    this->remove_idle_flows(found_level);
    return result;
}

auto fair_queue_order::remove_idle_flows(level& swept) -> void
{
    if (swept.flows.size() < std::max(swept.sweep_at, min_flows_to_sweep)) {
        return;
    }
    // A flow that is behind the virtual time would start at it again.
    std::erase_if(swept.flows, [&swept](const auto& item) {
        const auto& idle = item.second;
        return idle.use_count() == 1 && idle->waiting == 0 &&
               idle->start_tag <= swept.virtual_time;
    });
    swept.sweep_at = swept.flows.size() * 2;
}

auto fair_queue_order::begin_round(const std::vector<waiting_work>& works)
    -> void
{
    ++this->round;
    this->waiting = 0;
    for (auto& [priority, entry] : this->levels) {
        entry.waiting = 0;
    }
    auto previous = std::exchange(this->active, {});
    for (const auto& work : works) {
        if (work.is_charged) {
            continue;
        }
        auto& owner = *work.flow;
        auto& entry = this->levels[owner.priority];
        ++this->waiting;
        ++entry.waiting;
        if (std::exchange(owner.round, this->round) != this->round) {
            if (owner.on_time == 0) {
                // A workspace gains no credit from a time without work that
                // can be on time.
                owner.start_tag = std::max(owner.start_tag, entry.virtual_time);
            }
            owner.waiting = 0;
            owner.on_time = 0;
            this->active.push_back(entry.flows[owner.workspace]);
        }
        ++owner.waiting;
        owner.on_time += work.is_late ? 0 : 1;
    }
    for (const auto& earlier : previous) {
        if (earlier->round != this->round) {
            earlier->waiting = 0;
            earlier->on_time = 0;
        }
    }
}

auto fair_queue_order::assign_tags(std::vector<waiting_work>& works) -> bool
{
    for (const auto& owner : this->active) {
        owner->cost_before = 0;
        owner->last = nullptr;
    }
    for (auto& work : works) {
        if (work.is_charged) {
            continue;
        }
        auto& owner = *work.flow;
        if (owner.last != nullptr && precedes_in_flow(work, *owner.last)) {
            return false;
        }
        owner.last = &work;
        work.start_tag = owner.start_tag + owner.cost_before / owner.weight;
        owner.cost_before += work.cost;
        work.advanced_rank = waiting_work::not_advanced;
    }
    return true;
}

auto fair_queue_order::sum_levels(const std::vector<waiting_work>& works)
    -> void
{
    for (auto& [priority, entry] : this->levels) {
        entry.on_time = 0;
        entry.on_time_cost = 0;
        entry.earliest = core::time_point::max();
    }
    level* current = nullptr;
    auto current_priority = 0;
    for (const auto& work : works) {
        if (work.is_late || work.is_charged) {
            continue;
        }
        if (current == nullptr || work.flow->priority != current_priority) {
            current_priority = work.flow->priority;
            current = &this->levels[current_priority];
        }
        ++current->on_time;
        current->on_time_cost += work.cost;
        current->earliest = std::min(current->earliest, work.latest_start);
    }
}

auto fair_queue_order::is_at_risk(const level& yielding,
                                  core::time_point now) const -> bool
{
    auto needed = std::chrono::duration<double>(decision_interval);
    const auto rate = max_advanced_share * this->capacity_rate;
    if (rate > 0) {
        needed += std::chrono::duration<double>(yielding.on_time_cost / rate);
    }
    return std::chrono::duration<double>(yielding.earliest - now) <= needed;
}

auto fair_queue_order::advance(std::vector<waiting_work>& works,
                               core::time_point now) -> void
{
    this->sum_levels(works);
    auto at_risk = std::vector<std::pair<double, int>>();
    auto has_more_urgent = false;
    for (const auto& [priority, entry] : this->levels) {
        if (entry.on_time == 0) {
            continue;
        }
        if (std::exchange(has_more_urgent, true) &&
            this->is_at_risk(entry, now)) {
            at_risk.emplace_back(entry.advanced.value(now), priority);
        }
    }
    if (at_risk.empty()) {
        return;
    }
    std::sort(at_risk.begin(), at_risk.end());
    // One work may go over the limit, as otherwise work that costs more than
    // the limit would never be advanced.
    auto left = max_advanced_share * this->served.value(now) -
                this->advanced.value(now);
    auto rank = std::uint32_t(0);
    for (const auto& [taken, priority] : at_risk) {
        for (auto& work : works) {
            if (left < 0) {
                return;
            }
            if (work.flow->priority == priority && !work.is_late &&
                !work.is_charged) {
                work.advanced_rank = rank;
                left -= work.cost;
            }
        }
        ++rank;
    }
}

auto fair_queue_order::arrange(std::vector<waiting_work>& works,
                               core::time_point now) -> void
{
    this->begin_round(works);
    if (this->waiting == 0) {
        this->contended_since.reset();
    } else if (!this->contended_since) {
        this->contended_since = now;
    }
    if (!this->assign_tags(works)) {
        std::sort(works.begin(), works.end(), precedes_in_flow);
        this->assign_tags(works);
    }
    sort_mostly_sorted(works);
    this->advance(works, now);
    sort_mostly_sorted(works);
}

auto fair_queue_order::charge(fairness::flow& charged, double cost,
                              bool is_advanced, core::time_point now) -> void
{
    auto& entry = this->levels[charged.priority];
    entry.virtual_time = std::max(entry.virtual_time, charged.start_tag);
    charged.start_tag += cost / charged.weight;
    entry.max_tag = std::max(entry.max_tag, charged.start_tag);
    charged.served.add(cost, now);
    this->served.add(cost, now);
    if (is_advanced) {
        this->advanced.add(cost, now);
        entry.advanced.add(cost, now);
    }
    // A rate without waiting work is that of the arrivals.
    if (this->contended_since &&
        now - *this->contended_since >= recent_window) {
        this->capacity_rate =
            this->served.value(now) /
            std::chrono::duration<double>(recent_window).count();
    }
}

auto fair_queue_order::on_left(fairness::flow& left, bool is_late) -> void
{
    auto& entry = this->levels[left.priority];
    left.waiting -= std::min<std::size_t>(left.waiting, 1);
    left.on_time -= std::min<std::size_t>(left.on_time, is_late ? 0 : 1);
    entry.waiting -= std::min<std::size_t>(entry.waiting, 1);
    this->waiting -= std::min<std::size_t>(this->waiting, 1);
    if (this->waiting == 0) {
        this->contended_since.reset();
    }
    if (entry.waiting == 0) {
        // The end of a busy period: all start equal again.
        entry.virtual_time = entry.max_tag;
    }
}

auto fair_queue_order::overtaking_cost(const waiting_work& work,
                                       core::duration wait,
                                       core::time_point now) const -> double
{
    const auto entry = this->levels.find(work.flow->priority);
    if (entry == this->levels.end()) {
        return 0;
    }
    const auto windows = std::chrono::duration<double>(wait) /
                         std::chrono::duration<double>(recent_window);
    auto total = 0.0;
    for (const auto& [name, other] : entry->second.flows) {
        if (other.get() == work.flow) {
            continue;
        }
        const auto is_waiting = other->waiting > 0;
        const auto start =
            is_waiting ? other->start_tag
                       : std::max(other->start_tag, entry->second.virtual_time);
        const auto waiting_cost = is_waiting ? other->cost_before : 0.0;
        const auto room =
            (work.start_tag - start) * other->weight - waiting_cost;
        total +=
            std::max(std::min(other->served.value(now) * windows, room), 0.0);
    }
    return total;
}

auto fair_queue_order::advanced_share_below(int priority,
                                            core::time_point now) const
    -> double
{
    auto total = 0.0;
    for (auto entry = this->levels.upper_bound(priority);
         entry != this->levels.end(); ++entry) {
        total += entry->second.advanced.value(now);
    }
    const auto recent = this->served.value(now);
    return recent > 0 ? std::min(total / recent, max_advanced_share) : 0;
}

auto fair_queue_order::share_of(const core::workspace_name& workspace,
                                int priority, core::time_point now) const
    -> workspace_share
{
    auto result = workspace_share();
    const auto entry = this->levels.find(priority);
    if (entry == this->levels.end()) {
        return result;
    }
    auto all = 0.0;
    auto own = 0.0;
    auto waiting_weight = 0.0;
    auto own_weight = 1.0;
    for (const auto& [name, other] : entry->second.flows) {
        const auto recent = other->served.value(now);
        all += recent;
        if (name == workspace) {
            own = recent;
            own_weight = other->weight;
            result.waiting = other->waiting;
        } else if (other->waiting > 0) {
            waiting_weight += other->weight;
        }
    }
    result.share = all > 0 ? own / all : 0;
    result.entitled = own_weight / (own_weight + waiting_weight);
    return result;
}

} // namespace almondtiller::fairness
