#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

auto stage_queue::take_call(std::uint64_t id, core::time_point now)
    -> std::optional<call_state>
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return std::nullopt;
    }
    auto taken = std::move(found->second);
    this->calls.erase(found);
    const auto engine = this->engines.find(taken.engine);
    if (engine != this->engines.end() && engine->second.call == id) {
        engine->second.call = 0;
        engine->second.busy_until = now;
    }
    for (const auto& ref : taken.pieces) {
        const auto work = this->works.find(ref.ticket);
        if (work != this->works.end()) {
            --work->second.pieces[ref.index].calls;
        }
    }
    return taken;
}

auto stage_queue::on_results(std::uint64_t call,
                             const std::vector<serving::stage_result>& results,
                             core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    const auto taken = this->take_call(call, now);
    if (!taken || taken->pieces.size() != results.size()) {
        return effects;
    }
    const auto engine = this->engines.find(taken->engine);
    if (engine != this->engines.end()) {
        auto& state = engine->second;
        const auto ratio =
            std::chrono::duration<double>(now - taken->sent) /
            std::chrono::duration<double>(this->call_time(results.size()));
        state.slowness += (ratio - state.slowness) * slowness_weight;
        state.tried = now;
        static_cast<void>(
            state.health.on_success(now - taken->sent, core::duration(0), now));
    }
    for (auto index = std::size_t(0); index < results.size(); ++index) {
        const auto& ref = taken->pieces[index];
        const auto& result = results[index];
        const auto work = this->works.find(ref.ticket);
        const auto is_wanted = work != this->works.end() &&
                               work->second.pieces[ref.index].handle.empty();
        if (!result.handle.empty()) {
            const auto bytes =
                work == this->works.end() ? 0 : work->second.work.result_bytes;
            if (engine != this->engines.end()) {
                engine->second.results[result.handle] = {
                    bytes, now + std::chrono::duration_cast<core::duration>(
                                     this->pool.result_life)};
                this->holders[result.handle] = taken->engine;
            }
            if (is_wanted) {
                work->second.pieces[ref.index].handle = result.handle;
                work->second.pieces[ref.index].is_waiting = false;
                this->finish_if_done(ref.ticket, effects);
            } else {
                effects.unwanted.push_back(result.handle);
            }
            continue;
        }
        if (!is_wanted) {
            continue;
        }
        if (result.failure == serving::stage_failure::input_gone) {
            this->end_work(ref.ticket, stage_status::input_gone, effects);
            continue;
        }
        auto& piece = work->second.pieces[ref.index];
        piece.is_waiting = piece.calls == 0;
    }
    return effects;
}

auto stage_queue::on_call_failed(std::uint64_t call, bool is_full,
                                 core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    const auto taken = this->take_call(call, now);
    if (!taken) {
        return effects;
    }
    const auto engine = this->engines.find(taken->engine);
    if (engine != this->engines.end()) {
        engine->second.blocked_until = std::max(
            engine->second.blocked_until, core::time_point(now + full_pause));
        if (!is_full && engine->second.health.on_failure(now)) {
            engine->second.health.eject(now);
        }
    }
    for (const auto& ref : taken->pieces) {
        const auto work = this->works.find(ref.ticket);
        if (work != this->works.end()) {
            auto& piece = work->second.pieces[ref.index];
            piece.is_waiting = piece.handle.empty() && piece.calls == 0;
        }
    }
    return effects;
}

auto stage_queue::hold_off(const core::upstream_id& engine,
                           core::time_point until) -> void
{
    const auto found = this->engines.find(engine);
    if (found != this->engines.end()) {
        auto& blocked = found->second.blocked_until;
        blocked = std::max(blocked, until);
    }
}

auto stage_queue::on_time(core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    auto over = std::vector<std::uint64_t>();
    auto ahead = std::size_t(0);
    for (const auto* state : this->order(now)) {
        const auto begins = now + this->wait_of(*state, ahead, now);
        if (begins + this->call_time(1) / 2 >= state->work.deadline) {
            over.push_back(state->work.ticket);
            continue;
        }
        ahead += std::size_t(
            std::count_if(state->pieces.begin(), state->pieces.end(),
                          [](const auto& piece) { return piece.is_waiting; }));
    }
    for (const auto ticket : over) {
        const auto wait =
            this->wait_of(this->works[ticket], this->waiting_pieces(), now);
        this->end_work(ticket, stage_status::refused, effects,
                       std::chrono::duration_cast<core::milliseconds>(wait));
    }
    for (auto& [id, call] : this->calls) {
        if (call.is_overdue || call.overdue > now) {
            continue;
        }
        call.is_overdue = true;
        const auto engine = this->engines.find(call.engine);
        if (engine != this->engines.end()) {
            engine->second.slowness =
                std::max(engine->second.slowness, slow_ratio * 1.5);
            engine->second.tried = now;
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

auto stage_queue::on_freed(const std::string& handle) -> void
{
    const auto holder = this->holders.find(handle);
    if (holder == this->holders.end()) {
        return;
    }
    const auto engine = this->engines.find(holder->second);
    if (engine != this->engines.end()) {
        engine->second.results.erase(handle);
    }
    this->holders.erase(holder);
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
    auto given_up = this->cancel(ticket);
    effects.unwanted.insert(effects.unwanted.end(), given_up.unwanted.begin(),
                            given_up.unwanted.end());
    auto outcome = stage_outcome();
    outcome.ticket = ticket;
    outcome.status = status;
    outcome.retry_after = retry_after;
    effects.outcomes.push_back(std::move(outcome));
}

} // namespace almondtiller::dispatch
