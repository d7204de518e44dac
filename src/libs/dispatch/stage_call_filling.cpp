#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

auto stage_queue::is_slow(const upstream_state& upstream,
                          core::time_point now) const -> bool
{
    return this->present_slowness(upstream, now) >= slow_ratio &&
           now - upstream.last_used < slow_retest_interval;
}

auto stage_queue::idle_upstreams(core::time_point now)
    -> std::vector<upstream_state*>
{
    auto idle = std::vector<upstream_state*>();
    auto fast_upstreams = std::size_t(0);
    for (auto& [id, upstream] : this->upstreams) {
        if (this->present_slowness(upstream, now) < slow_ratio &&
            !upstream.health.is_ejected()) {
            ++fast_upstreams;
        }
        if (upstream.active_call == 0 && upstream.blocked_until <= now &&
            upstream.health.admits(0, now) && upstream.pacer.allows(now)) {
            idle.push_back(&upstream);
        }
    }
    const auto is_overloaded =
        this->waiting_pieces() > fast_upstreams * 2 * this->pool.batch;
    if (!is_overloaded && fast_upstreams > 0) {
        std::erase_if(idle, [this, now](const auto* upstream) {
            return this->is_slow(*upstream, now);
        });
    }
    std::stable_sort(idle.begin(), idle.end(),
                     [this, now](const auto* left, const auto* right) {
                         return this->present_slowness(*left, now) <
                                this->present_slowness(*right, now);
                     });
    return idle;
}

auto stage_queue::fill_any(std::vector<upstream_state*> idle,
                           core::time_point now) -> std::optional<stage_call>
{
    if (idle.empty()) {
        return std::nullopt;
    }
    const auto works = this->waiting_by_urgency(now);
    if (works.empty()) {
        return std::nullopt;
    }
    // The most urgent work goes to its own zone if an upstream there is idle.
    const auto& zone = works.front()->work.zone;
    std::stable_partition(idle.begin(), idle.end(), [&zone](const auto* one) {
        return one->upstream.zone == zone;
    });
    for (auto* upstream : idle) {
        if (auto call = this->fill_call(*upstream, works, idle, now)) {
            return call;
        }
    }
    return std::nullopt;
}

auto stage_queue::can_wait_for_own_zone(const stage_work& work,
                                        std::size_t ahead,
                                        core::time_point now) const -> bool
{
    auto count = std::size_t(0);
    auto first_free = core::time_point::max();
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.upstream.zone == work.zone &&
            upstream.slowness < slow_ratio && upstream.blocked_until <= now &&
            !upstream.health.is_ejected()) {
            ++count;
            first_free = std::min(first_free, std::max(free_at(upstream), now));
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
    return end - now <= (work.due - now) * own_zone_wait_share;
}

auto stage_queue::fill_call(upstream_state& upstream,
                            const std::vector<const work_state*>& ordered,
                            const std::vector<upstream_state*>& idle,
                            core::time_point now) -> std::optional<stage_call>
{
    const auto has_idle_in_own_zone = [&](const stage_work& work) {
        return std::any_of(idle.begin(), idle.end(), [&](const auto* other) {
            return other != &upstream && other->upstream.zone == work.zone;
        });
    };
    auto room = this->available_room(upstream, now);
    auto is_short_of_room = false;
    auto call = stage_call();
    auto sent_call = call_state();
    auto ahead = std::map<core::zone_name, std::size_t>();
    for (const auto* waiting : ordered) {
        auto& state = this->works[waiting->work.ticket];
        const auto is_own_zone = state.work.zone == upstream.upstream.zone;
        if (!is_own_zone && state.work.transfer_bytes >= large_transfer_bytes) {
            auto& ahead_in_zone = ahead[state.work.zone];
            if (has_idle_in_own_zone(state.work) ||
                this->can_wait_for_own_zone(state.work, ahead_in_zone, now)) {
                ahead_in_zone += state.work.items.size();
                continue;
            }
        }
        for (auto index = std::size_t(0); index < state.pieces.size();
             ++index) {
            if (!state.pieces[index].is_waiting ||
                call.items.size() >= this->pool.batch) {
                continue;
            }
            if (room < state.work.result_bytes) {
                is_short_of_room = true;
                continue;
            }
            room -= state.work.result_bytes;
            state.pieces[index].is_waiting = false;
            ++state.pieces[index].active_calls;
            auto item = state.work.items[index];
            item.time_left = std::chrono::duration_cast<core::milliseconds>(
                state.work.deadline - now);
            call.items.push_back(std::move(item));
            sent_call.pieces.push_back({state.work.ticket, index});
        }
    }
    if (is_short_of_room && this->unknown_room(upstream, now) > 0) {
        upstream.room.on_short_of_room();
    }
    if (call.items.empty()) {
        return std::nullopt;
    }
    this->charge(sent_call, now);
    call.id = ++this->last_call;
    call.upstream = upstream.upstream;
    const auto expected =
        this->expected_call_time(upstream, call.items.size(), now);
    call.expected_end = now + expected;
    sent_call.upstream = upstream.upstream.id;
    sent_call.sent_at = now;
    sent_call.quick_part =
        this->speeds.at(upstream.speed_index).quick_part(now);
    sent_call.overdue_at =
        now +
        std::chrono::duration_cast<core::duration>(expected * overdue_factor) +
        overdue_slack;
    upstream.active_call = call.id;
    upstream.last_used = now;
    upstream.pacer.record(now);
    upstream.busy_until = call.expected_end;
    this->calls[call.id] = std::move(sent_call);
    return call;
}

} // namespace almondtiller::dispatch
