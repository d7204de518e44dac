#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

auto stage_queue::remove_call(std::uint64_t id, core::time_point now)
    -> std::optional<call_state>
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return std::nullopt;
    }
    auto removed = std::move(found->second);
    this->calls.erase(found);
    const auto upstream = this->upstreams.find(removed.upstream);
    if (upstream != this->upstreams.end() &&
        upstream->second.active_call == id) {
        upstream->second.active_call = 0;
        upstream->second.busy_until = now;
    }
    for (const auto& ref : removed.pieces) {
        const auto work = this->works.find(ref.ticket);
        if (work != this->works.end()) {
            --work->second.pieces[ref.index].active_calls;
        }
    }
    return removed;
}

auto stage_queue::on_results(std::uint64_t call,
                             const std::vector<serving::stage_result>& results,
                             core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    const auto removed = this->remove_call(call, now);
    if (!removed || removed->pieces.size() != results.size()) {
        return effects;
    }
    const auto upstream = this->upstreams.find(removed->upstream);
    if (upstream != this->upstreams.end()) {
        auto& state = upstream->second;
        this->record_call(state, *removed, now);
        state.last_used = now;
        static_cast<void>(state.health.on_success(now - removed->sent_at,
                                                  core::duration(0), now));
    }
    for (auto index = std::size_t(0); index < results.size(); ++index) {
        const auto& ref = removed->pieces[index];
        const auto& result = results[index];
        const auto work = this->works.find(ref.ticket);
        const auto is_wanted = work != this->works.end() &&
                               work->second.pieces[ref.index].handle.empty();
        if (!result.handle.empty()) {
            const auto bytes =
                work == this->works.end() ? 0 : work->second.work.result_bytes;
            if (upstream != this->upstreams.end()) {
                upstream->second.results[result.handle] = {
                    bytes, now + std::chrono::duration_cast<core::duration>(
                                     this->pool.result_life)};
                this->result_holders[result.handle] = removed->upstream;
            }
            if (is_wanted) {
                work->second.pieces[ref.index].handle = result.handle;
                work->second.pieces[ref.index].is_waiting = false;
                this->finish_if_done(ref.ticket, effects);
            } else {
                effects.unused_results.push_back(result.handle);
            }
            continue;
        }
        if (result.failure == serving::stage_failure::no_room &&
            upstream != this->upstreams.end()) {
            upstream->second.room.on_rejected(now);
        }
        if (!is_wanted) {
            continue;
        }
        if (result.failure == serving::stage_failure::input_lost) {
            this->end_work(ref.ticket, stage_status::input_lost, effects);
            continue;
        }
        auto& piece = work->second.pieces[ref.index];
        piece.is_waiting = piece.active_calls == 0;
    }
    return effects;
}

auto stage_queue::on_call_failed(std::uint64_t call, bool is_full,
                                 core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    const auto removed = this->remove_call(call, now);
    if (!removed) {
        return effects;
    }
    const auto upstream = this->upstreams.find(removed->upstream);
    if (upstream != this->upstreams.end()) {
        upstream->second.blocked_until =
            std::max(upstream->second.blocked_until,
                     core::time_point(now + call_failure_pause));
        if (!is_full && upstream->second.health.on_failure(now)) {
            upstream->second.health.eject(now);
        }
    }
    for (const auto& ref : removed->pieces) {
        const auto work = this->works.find(ref.ticket);
        if (work != this->works.end()) {
            auto& piece = work->second.pieces[ref.index];
            piece.is_waiting = piece.handle.empty() && piece.active_calls == 0;
        }
    }
    return effects;
}

auto stage_queue::hold_off(const core::upstream_id& upstream,
                           core::time_point until) -> void
{
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end()) {
        auto& blocked = found->second.blocked_until;
        blocked = std::max(blocked, until);
    }
}

auto stage_queue::on_tick(core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    auto expired = std::vector<std::uint64_t>();
    auto ahead = queue_position();
    for (const auto* state : this->waiting_by_urgency(now)) {
        const auto expected_start = now + this->wait_at(*state, ahead, now);
        if (expected_start + this->nominal_call_time(1) / 2 >=
            state->work.deadline) {
            expired.push_back(state->work.ticket);
            continue;
        }
        this->add_before(ahead, *state, now);
    }
    for (const auto ticket : expired) {
        const auto wait = this->estimated_wait_of(this->works[ticket],
                                                  this->waiting_pieces(), now);
        this->end_work(ticket, stage_status::rejected, effects,
                       std::chrono::duration_cast<core::milliseconds>(wait));
    }
    for (auto& [id, call] : this->calls) {
        if (call.is_overdue || call.overdue_at > now) {
            continue;
        }
        call.is_overdue = true;
        const auto upstream = this->upstreams.find(call.upstream);
        if (upstream != this->upstreams.end()) {
            upstream->second.slowness =
                std::max(upstream->second.slowness, slow_ratio * 1.5);
            upstream->second.last_used = now;
        }
        for (const auto& ref : call.pieces) {
            const auto work = this->works.find(ref.ticket);
            if (work != this->works.end() &&
                work->second.pieces[ref.index].handle.empty()) {
                work->second.pieces[ref.index].is_waiting = true;
            }
        }
    }
    return effects;
}

auto stage_queue::on_result_freed(const std::string& handle) -> void
{
    const auto holder = this->result_holders.find(handle);
    if (holder == this->result_holders.end()) {
        return;
    }
    const auto upstream = this->upstreams.find(holder->second);
    if (upstream != this->upstreams.end()) {
        upstream->second.results.erase(handle);
    }
    this->result_holders.erase(holder);
}

auto stage_queue::finish_if_done(std::uint64_t ticket, stage_effects& effects)
    -> void
{
    const auto& pieces = this->works[ticket].pieces;
    const auto is_done =
        std::all_of(pieces.begin(), pieces.end(),
                    [](const auto& piece) { return !piece.handle.empty(); });
    if (!is_done) {
        return;
    }
    auto outcome = stage_outcome();
    outcome.ticket = ticket;
    for (const auto& piece : pieces) {
        outcome.handles.push_back(piece.handle);
    }
    effects.outcomes.push_back(std::move(outcome));
    this->works.erase(ticket);
}

auto stage_queue::end_work(std::uint64_t ticket, stage_status status,
                           stage_effects& effects,
                           core::milliseconds retry_after) -> void
{
    auto cancelled = this->cancel(ticket);
    effects.unused_results.insert(effects.unused_results.end(),
                                  cancelled.unused_results.begin(),
                                  cancelled.unused_results.end());
    auto outcome = stage_outcome();
    outcome.ticket = ticket;
    outcome.status = status;
    outcome.retry_after = retry_after;
    effects.outcomes.push_back(std::move(outcome));
}

} // namespace almondtiller::dispatch
