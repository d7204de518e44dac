#include "dispatch/stage_queue.h"
#include "dispatch/stage_limits.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

stage_queue::stage_queue(serving::stage_pool spec) : pool(spec)
{}

auto stage_queue::set_pool(const serving::stage_pool& spec) -> void
{
    this->pool = spec;
}

auto stage_queue::set_engines(const std::vector<stage_engine>& current) -> void
{
    auto kept = std::map<core::upstream_id, engine_state>();
    for (const auto& engine : current) {
        const auto found = this->engines.find(engine.id);
        if (found != this->engines.end()) {
            kept[engine.id] = std::move(found->second);
        }
        kept[engine.id].engine = engine;
    }
    this->engines = std::move(kept);
}

auto stage_queue::call_time(std::size_t items) const -> core::duration
{
    return as_duration(this->pool.call_time +
                       this->pool.item_time * double(items));
}

auto stage_queue::is_on_time(const stage_work& work, core::time_point now) const
    -> bool
{
    return now + this->call_time(work.items.size()) <= work.due;
}

auto stage_queue::order(core::time_point now) const
    -> std::vector<const work_state*>
{
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
            ranks.push_back({!this->is_on_time(state.work, now),
                             state.work.priority, state.work.due, &state});
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

auto stage_queue::pieces_before(const stage_work& work,
                                core::time_point now) const -> std::size_t
{
    const auto late = !this->is_on_time(work, now);
    auto pieces = std::size_t(0);
    for (const auto& [ticket, state] : this->works) {
        const auto& other = state.work;
        const auto other_late = !this->is_on_time(other, now);
        if (std::tie(other_late, other.priority, other.due) <
            std::tie(late, work.priority, work.due)) {
            pieces += std::size_t(std::count_if(
                state.pieces.begin(), state.pieces.end(),
                [](const auto& piece) { return piece.is_waiting; }));
        }
    }
    return pieces;
}

auto stage_queue::wait_for(std::size_t pieces) const -> core::duration
{
    const auto count = std::max<std::size_t>(this->engines.size(), 1);
    const auto full_calls = double(pieces) / double(this->pool.batch);
    const auto work = this->pool.call_time * full_calls +
                      this->pool.item_time * double(pieces);
    return as_duration(work / double(count));
}

auto stage_queue::estimated_wait(core::time_point now) const -> core::duration
{
    static_cast<void>(now);
    return this->wait_for(this->waiting_pieces());
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

auto stage_queue::can_accept(const stage_work& work, core::time_point now) const
    -> bool
{
    const auto wait = this->wait_for(this->pieces_before(work, now));
    return now + wait + this->call_time(1) <= work.deadline;
}

auto stage_queue::submit(stage_work work, core::time_point now)
    -> std::optional<stage_outcome>
{
    if (!this->can_accept(work, now)) {
        auto refusal = stage_outcome();
        refusal.ticket = work.ticket;
        refusal.status = stage_status::refused;
        refusal.retry_after =
            std::max(std::chrono::duration_cast<core::milliseconds>(
                         this->estimated_wait(now)),
                     shortest_retry);
        return refusal;
    }
    auto state = work_state();
    state.pieces.resize(work.items.size());
    state.work = std::move(work);
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
            effects.unwanted.push_back(piece.handle);
        }
    }
    this->works.erase(found);
    return effects;
}

} // namespace almondtiller::dispatch
