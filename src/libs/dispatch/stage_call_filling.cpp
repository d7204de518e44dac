#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

auto stage_queue::room_used(engine_state& engine, core::time_point now)
    -> std::uint64_t
{
    auto used = std::uint64_t(0);
    std::erase_if(engine.results, [this, now](const auto& item) {
        const auto is_over = item.second.expires <= now;
        if (is_over) {
            this->holders.erase(item.first);
        }
        return is_over;
    });
    for (const auto& [handle, held] : engine.results) {
        used += held.bytes;
    }
    return used;
}

auto stage_queue::room_left(engine_state& engine, core::time_point now)
    -> std::uint64_t
{
    const auto used = this->room_used(engine, now);
    return used < this->pool.room_bytes ? this->pool.room_bytes - used : 0;
}

auto stage_queue::is_slow(const engine_state& engine, core::time_point now)
    -> bool
{
    return engine.slowness >= slow_ratio && now - engine.tried < slow_retest;
}

auto stage_queue::idle_engines(core::time_point now)
    -> std::vector<engine_state*>
{
    auto idle = std::vector<engine_state*>();
    auto fast = std::size_t(0);
    for (auto& [id, engine] : this->engines) {
        if (engine.slowness < slow_ratio && !engine.health.is_ejected()) {
            ++fast;
        }
        if (engine.call == 0 && engine.blocked_until <= now &&
            engine.health.admits(0, now)) {
            idle.push_back(&engine);
        }
    }
    const auto is_pressed =
        this->waiting_pieces() > fast * 2 * this->pool.batch;
    if (!is_pressed && fast > 0) {
        std::erase_if(
            idle, [now](const auto* engine) { return is_slow(*engine, now); });
    }
    std::stable_sort(idle.begin(), idle.end(),
                     [](const auto* left, const auto* right) {
                         return left->slowness < right->slowness;
                     });
    return idle;
}

auto stage_queue::next_call(core::time_point now) -> std::optional<stage_call>
{
    auto idle = this->idle_engines(now);
    if (idle.empty()) {
        return std::nullopt;
    }
    const auto works = this->order(now);
    if (works.empty()) {
        return std::nullopt;
    }
    // The most urgent work goes to its own zone if an upstream there is idle.
    const auto& zone = works.front()->work.zone;
    std::stable_partition(idle.begin(), idle.end(), [&zone](const auto* one) {
        return one->engine.zone == zone;
    });
    for (auto* engine : idle) {
        if (auto call = this->fill_call(*engine, works, idle, now)) {
            return call;
        }
    }
    return std::nullopt;
}

auto stage_queue::ends_at_home_in_time(const stage_work& work,
                                       std::size_t ahead,
                                       core::time_point now) const -> bool
{
    auto count = std::size_t(0);
    auto first_free = core::time_point::max();
    for (const auto& [id, engine] : this->engines) {
        if (engine.engine.zone == work.zone && engine.slowness < slow_ratio &&
            engine.blocked_until <= now && !engine.health.is_ejected()) {
            ++count;
            first_free = std::min(first_free, std::max(engine.busy_until, now));
        }
    }
    if (count == 0) {
        return false;
    }
    const auto pieces = ahead + work.items.size();
    const auto full_calls =
        std::ceil(double(pieces) / double(this->pool.batch * count));
    const auto end =
        first_free +
        as_duration(this->pool.call_time * full_calls +
                    this->pool.item_time * double(pieces) / double(count));
    return end - now <= (work.due - now) * home_wait_share;
}

auto stage_queue::fill_call(engine_state& engine,
                            const std::vector<const work_state*>& ordered,
                            const std::vector<engine_state*>& idle,
                            core::time_point now) -> std::optional<stage_call>
{
    const auto has_idle_at_home = [&](const stage_work& work) {
        return std::any_of(idle.begin(), idle.end(), [&](const auto* other) {
            return other != &engine && other->engine.zone == work.zone;
        });
    };
    auto room = this->room_left(engine, now);
    auto call = stage_call();
    auto carried = call_state();
    auto ahead = std::map<core::zone_name, std::size_t>();
    for (const auto* waiting : ordered) {
        auto& state = this->works[waiting->work.ticket];
        const auto is_home = state.work.zone == engine.engine.zone;
        if (!is_home && state.work.transfer_bytes >= large_transfer_bytes) {
            auto& at_home = ahead[state.work.zone];
            if (has_idle_at_home(state.work) ||
                this->ends_at_home_in_time(state.work, at_home, now)) {
                at_home += state.work.items.size();
                continue;
            }
        }
        for (auto index = std::size_t(0); index < state.pieces.size();
             ++index) {
            if (!state.pieces[index].is_waiting ||
                call.items.size() >= this->pool.batch ||
                room < state.work.result_bytes) {
                continue;
            }
            room -= state.work.result_bytes;
            state.pieces[index].is_waiting = false;
            ++state.pieces[index].calls;
            auto item = state.work.items[index];
            item.time_left = std::chrono::duration_cast<core::milliseconds>(
                state.work.deadline - now);
            call.items.push_back(std::move(item));
            carried.pieces.push_back({state.work.ticket, index});
        }
    }
    if (call.items.empty()) {
        return std::nullopt;
    }
    call.id = ++this->last_call;
    call.engine = engine.engine;
    const auto expected = std::chrono::duration_cast<core::duration>(
        this->call_time(call.items.size()) * std::max(engine.slowness, 1.0));
    call.expected_end = now + expected;
    carried.engine = engine.engine.id;
    carried.sent = now;
    carried.overdue =
        now +
        std::chrono::duration_cast<core::duration>(expected * overdue_factor) +
        overdue_slack;
    engine.call = call.id;
    engine.tried = now;
    engine.busy_until = call.expected_end;
    this->calls[call.id] = std::move(carried);
    return call;
}

} // namespace almondtiller::dispatch
