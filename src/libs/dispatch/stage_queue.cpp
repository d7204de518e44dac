#include "dispatch/stage_queue.h"
#include "dispatch/stage_limits.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

stage_queue::stage_queue(serving::stage_pool spec, stage_queue_limits limits)
    : pool(spec)
{
    if (limits.has_fair_sharing) {
        this->order.emplace();
    }
}

auto stage_queue::set_pool(const serving::stage_pool& spec) -> void
{
    this->pool = spec;
}

auto stage_queue::set_upstreams(const std::vector<stage_upstream>& current)
    -> void
{
    auto kept = std::map<core::upstream_id, upstream_state>();
    for (const auto& upstream : current) {
        const auto found = this->upstreams.find(upstream.id);
        if (found != this->upstreams.end()) {
            kept[upstream.id] = std::move(found->second);
        }
        kept[upstream.id].upstream = upstream;
        kept[upstream.id].pacer.set_limit(upstream.request_limit);
    }
    this->upstreams = std::move(kept);
    this->track_speeds();
}

auto stage_queue::nominal_call_time(std::size_t items) const -> core::duration
{
    return as_duration(this->pool.call_time +
                       this->pool.item_time * double(items));
}

auto stage_queue::is_on_time(const work_state& state,
                             core::time_point now) const -> bool
{
    return !state.is_late &&
           now + this->nominal_call_time(state.work.items.size()) <=
               state.work.due;
}

auto stage_queue::waiting_by_urgency(core::time_point now)
    -> std::vector<const work_state*>
{
    if (this->order) {
        return this->waiting_by_share(now);
    }
    struct ranked
    {
        bool late;
        int priority;
        core::time_point due;
        const work_state* work;
    };
    auto ranks = std::vector<ranked>();
    for (const auto& [ticket, state] : this->works) {
        const auto is_waiting =
            std::any_of(state.pieces.begin(), state.pieces.end(),
                        [](const auto& piece) { return piece.is_waiting; });
        if (is_waiting) {
            ranks.push_back({!this->is_on_time(state, now), state.work.priority,
                             state.work.due, &state});
        }
    }
    std::stable_sort(ranks.begin(), ranks.end(),
                     [](const auto& left, const auto& right) {
                         return std::tie(left.late, left.priority, left.due) <
                                std::tie(right.late, right.priority, right.due);
                     });
    auto ordered = std::vector<const work_state*>();
    for (const auto& entry : ranks) {
        ordered.push_back(entry.work);
    }
    return ordered;
}

auto stage_queue::pieces_ahead(const work_state& state,
                               core::time_point now) const -> std::size_t
{
    const auto& work = state.work;
    const auto late = !this->is_on_time(state, now);
    auto pieces = std::size_t(0);
    for (const auto& [ticket, before] : this->works) {
        const auto& other = before.work;
        const auto other_late = !this->is_on_time(before, now);
        if (std::tie(other_late, other.priority, other.due) <=
            std::tie(late, work.priority, work.due)) {
            pieces += std::size_t(std::count_if(
                before.pieces.begin(), before.pieces.end(),
                [](const auto& piece) { return piece.is_waiting; }));
        }
    }
    return pieces;
}

auto stage_queue::free_at(const upstream_state& upstream) -> core::time_point
{
    return std::max(upstream.busy_until, upstream.pacer.next_at());
}

auto stage_queue::capacity() const -> double
{
    const auto call_seconds =
        std::chrono::duration<double>(this->nominal_call_time(this->pool.batch))
            .count();
    auto total = 0.0;
    for (const auto& [id, upstream] : this->upstreams) {
        if (!upstream.health.is_ejected() && upstream.upstream.is_in_use) {
            total +=
                std::min(1.0 / std::max(this->lasting_slowness(upstream), 1.0),
                         upstream.pacer.rate() * call_seconds);
        }
    }
    // Ejections are temporary: if all upstreams are ejected, one returns soon.
    return total > 0.0 ? total : 1.0;
}

auto stage_queue::backlog_time(std::size_t pieces, core::time_point now) const
    -> core::duration
{
    const auto full_calls = double(pieces) / double(this->pool.batch);
    auto work = as_duration(this->pool.call_time * full_calls +
                            this->pool.item_time * double(pieces));
    auto first_free = core::duration::max();
    for (const auto& [id, upstream] : this->upstreams) {
        const auto left = upstream.active_call != 0 && upstream.busy_until > now
                              ? upstream.busy_until - now
                              : core::duration(0);
        work += left;
        first_free =
            std::min(first_free, std::max(free_at(upstream), now) - now);
    }
    if (pieces == 0 && !this->upstreams.empty()) {
        return first_free;
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, core::duration::period>(work) /
        this->capacity());
}

auto stage_queue::estimated_wait_of(const work_state& state, std::size_t ahead,
                                    core::time_point now) const
    -> core::duration
{
    const auto wait = this->backlog_time(ahead, now);
    // Work that arrives in the meantime and goes first takes a share of the
    // capacity.
    const auto overtaking_rate =
        this->is_on_time(state, now)
            ? this->arrivals.rate_more_urgent_than(state.work.priority, now)
            : this->arrivals.total_rate(now);
    const auto piece_time =
        std::chrono::duration<double>(this->pool.call_time).count() /
            double(this->pool.batch) +
        std::chrono::duration<double>(this->pool.item_time).count();
    const auto left =
        std::max(1.0 - overtaking_rate * piece_time / this->capacity(),
                 min_capacity_share);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, core::duration::period>(wait) / left);
}

auto stage_queue::estimated_wait(core::time_point now) const -> core::duration
{
    return this->backlog_time(this->waiting_pieces(), now);
}

auto stage_queue::waiting_pieces() const -> std::size_t
{
    auto pieces = std::size_t(0);
    for (const auto& [ticket, state] : this->works) {
        pieces += std::size_t(
            std::count_if(state.pieces.begin(), state.pieces.end(),
                          [](const auto& piece) { return piece.is_waiting; }));
    }
    return pieces;
}

auto stage_queue::can_accept(const work_state& state, core::duration wait,
                             core::time_point now) const -> bool
{
    return now + wait + this->run_time(state.work.items.size()) <=
           state.work.deadline;
}

auto stage_queue::run_time(std::size_t pieces) const -> core::duration
{
    const auto batch = std::size_t(this->pool.batch);
    if (pieces <= batch) {
        return this->nominal_call_time(pieces);
    }
    const auto calls_time =
        as_duration((this->pool.call_time * (double(pieces) / double(batch)) +
                     this->pool.item_time * double(pieces)) /
                    this->capacity());
    return std::max(this->nominal_call_time(batch), calls_time);
}

auto stage_queue::submit(stage_work work, core::time_point now)
    -> std::optional<stage_outcome>
{
    auto state = work_state();
    state.pieces.resize(work.items.size());
    state.work = std::move(work);
    if (this->order) {
        state.flow = this->order->flow_of(
            state.work.workspace, state.work.priority, state.work.weight);
    }
    // Under overload, work that cannot meet its due time would wait until it is
    // late and then take capacity from the work that arrives after it.
    const auto wait = this->wait_of_new(state, now);
    state.is_late = now + wait + this->nominal_call_time(1) > state.work.due;
    const auto wait_if_late =
        state.is_late ? this->wait_of_new(state, now) : wait;
    if (!this->can_accept(state, wait_if_late, now)) {
        auto rejection = stage_outcome();
        rejection.ticket = state.work.ticket;
        rejection.status = stage_status::rejected;
        rejection.retry_after =
            std::max(std::chrono::duration_cast<core::milliseconds>(
                         this->order ? wait
                                     : this->estimated_wait_of(
                                           state, this->waiting_pieces(), now)),
                     min_stage_retry_after);
        return rejection;
    }
    if (!state.is_late) {
        // Only work that is not late overtakes other work.
        this->arrivals.record(state.work.priority, state.work.items.size(),
                              now);
    }
    const auto ticket = state.work.ticket;
    this->works[ticket] = std::move(state);
    return std::nullopt;
}

auto stage_queue::cancel(std::uint64_t ticket) -> stage_effects
{
    auto effects = stage_effects();
    const auto found = this->works.find(ticket);
    if (found == this->works.end()) {
        return effects;
    }
    for (const auto& piece : found->second.pieces) {
        if (!piece.handle.empty()) {
            effects.unused_results.push_back(piece.handle);
        }
    }
    this->works.erase(found);
    return effects;
}

} // namespace almondtiller::dispatch
