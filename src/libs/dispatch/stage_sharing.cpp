#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

#include <algorithm>
#include <utility>

namespace almondtiller::dispatch {

auto stage_queue::waiting_pieces_of(const work_state& state) -> std::size_t
{
    return std::size_t(
        std::count_if(state.pieces.begin(), state.pieces.end(),
                      [](const auto& piece) { return piece.is_waiting; }));
}

auto stage_queue::sharing_entry(const work_state& state,
                                core::time_point now) const
    -> fairness::waiting_work
{
    auto entry = fairness::waiting_work();
    entry.flow = state.flow.get();
    entry.ticket = state.work.ticket;
    entry.cost = double(waiting_pieces_of(state));
    entry.due = state.work.due;
    entry.latest_start =
        state.work.due - this->nominal_call_time(state.work.items.size());
    entry.is_late = !this->is_on_time(state, now);
    entry.is_charged = state.is_charged;
    if (state.is_charged) {
        entry.start_tag = state.start_tag;
        entry.advanced_rank =
            state.is_advanced ? 0 : fairness::waiting_work::not_advanced;
    }
    return entry;
}

auto stage_queue::waiting_by_share(core::time_point now)
    -> std::vector<const work_state*>
{
    auto waiting = std::vector<work_state*>();
    auto entries = std::vector<fairness::waiting_work>();
    for (auto& [ticket, state] : this->works) {
        if (waiting_pieces_of(state) > 0) {
            entries.push_back(this->sharing_entry(state, now));
            entries.back().index = waiting.size();
            waiting.push_back(&state);
        }
    }
    this->order->arrange(entries, now);
    auto ordered = std::vector<const work_state*>();
    ordered.reserve(entries.size());
    for (const auto& entry : entries) {
        auto* state = waiting[entry.index];
        state->is_advanced = entry.is_advanced();
        state->start_tag = entry.start_tag;
        ordered.push_back(state);
    }
    return ordered;
}

auto stage_queue::add_before(queue_position& position, const work_state& state,
                             core::time_point now) const -> void
{
    const auto pieces = waiting_pieces_of(state);
    position.pieces += pieces;
    if (this->is_on_time(state, now)) {
        position.on_time_pieces[state.work.priority] += pieces;
    }
}

auto stage_queue::wait_at(const work_state& state,
                          const queue_position& position,
                          core::time_point now) const -> core::duration
{
    const auto wait = this->estimated_wait_of(state, position.pieces, now);
    if (!this->order || !this->is_on_time(state, now)) {
        return wait;
    }
    // Work that yields is advanced when it would otherwise be late, before work
    // that is more urgent.
    const auto scaled = [](core::duration time, double share) {
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double, core::duration::period>(time) /
            share);
    };
    const auto left =
        1 - this->order->advanced_share_below(state.work.priority, now);
    if (this->arrivals.rate_more_urgent_than(state.work.priority, now) <= 0) {
        return scaled(wait, left);
    }
    const auto found = position.on_time_pieces.find(state.work.priority);
    const auto pieces =
        found == position.on_time_pieces.end() ? 0 : found->second;
    return std::min(scaled(wait, left), scaled(this->backlog_time(pieces, now),
                                               fairness::max_advanced_share));
}

auto stage_queue::wait_of_new(const work_state& state, core::time_point now)
    -> core::duration
{
    if (!this->order) {
        return this->estimated_wait_of(state, this->pieces_ahead(state, now),
                                       now);
    }
    auto entries = std::vector<fairness::waiting_work>();
    auto waiting = std::vector<const work_state*>();
    for (const auto& [ticket, other] : this->works) {
        if (waiting_pieces_of(other) > 0) {
            entries.push_back(this->sharing_entry(other, now));
            entries.back().index = waiting.size();
            waiting.push_back(&other);
        }
    }
    entries.push_back(this->sharing_entry(state, now));
    entries.back().index = waiting.size();
    this->order->arrange(entries, now);
    auto ahead = queue_position();
    for (const auto& entry : entries) {
        if (entry.index == waiting.size()) {
            return this->wait_behind(state, entry, ahead, now);
        }
        this->add_before(ahead, *waiting[entry.index], now);
    }
    return core::duration(0);
}

auto stage_queue::wait_behind(const work_state& state,
                              const fairness::waiting_work& entry,
                              const queue_position& ahead,
                              core::time_point now) const -> core::duration
{
    auto wait = this->wait_at(state, ahead, now);
    if (!this->is_on_time(state, now)) {
        return wait;
    }
    // Work of other workspaces that arrives in the meantime may go first, and
    // what arrives depends on the wait.
    constexpr auto max_rounds = 8;
    auto overtaking = 0.0;
    for (auto round = 0; round < max_rounds; ++round) {
        const auto more = this->order->overtaking_cost(entry, wait, now);
        if (more < overtaking + 1) {
            break;
        }
        overtaking = more;
        auto behind = ahead;
        behind.pieces += std::size_t(overtaking);
        behind.on_time_pieces[state.work.priority] += std::size_t(overtaking);
        wait = this->wait_at(state, behind, now);
    }
    return wait;
}

auto stage_queue::charge(const call_state& call, core::time_point now) -> void
{
    if (!this->order) {
        return;
    }
    for (const auto& ref : call.pieces) {
        auto& state = this->works[ref.ticket];
        if (!std::exchange(state.is_charged, true)) {
            this->order->charge(*state.flow, double(state.pieces.size()),
                                state.is_advanced, now);
            this->order->on_left(*state.flow, !this->is_on_time(state, now));
        }
    }
}

auto stage_queue::share_of(const core::workspace_name& workspace, int priority,
                           core::time_point now) const
    -> std::optional<fairness::workspace_share>
{
    return this->order
               ? std::optional(this->order->share_of(workspace, priority, now))
               : std::nullopt;
}

} // namespace almondtiller::dispatch
