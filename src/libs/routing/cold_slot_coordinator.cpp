#include "routing/cold_slot_coordinator.h"

#include <algorithm>
#include <utility>

namespace almondtiller::routing {

cold_slot_coordinator::cold_slot_coordinator(core::node_id self,
                                             cold_timing timing,
                                             core::time_point now)
    : self(std::move(self)), timing(timing), settling_since(now), last_tick(now)
{
    this->view.members = {this->self};
}

auto cold_slot_coordinator::set_timing(const cold_timing& timing) -> void
{
    this->timing = timing;
}

auto cold_slot_coordinator::settle_duration() const -> core::duration
{
    return this->timing.view_skew + this->timing.grant_duration +
           this->timing.longest_dispatch;
}

auto cold_slot_coordinator::set_view(member_view view, core::time_point now)
    -> void
{
    this->tick(now);
    if (view == this->view) {
        return;
    }
    for (const auto& member : this->view.members) {
        this->last_seen[member] = now;
    }
    this->past_views.push_back({now, std::move(this->view.members)});
    this->view = std::move(view);
    for (const auto& member : this->view.leaving) {
        this->last_seen.erase(member);
    }
}

auto cold_slot_coordinator::tick(core::time_point now) -> void
{
    if (now - this->last_tick > this->timing.longest_pause) {
        this->settling_since = now;
    }
    this->last_tick = std::max(this->last_tick, now);
    this->remove_expired_state(now);
}

auto cold_slot_coordinator::remove_expired_state(core::time_point now) -> void
{
    while (!this->past_views.empty() &&
           this->past_views.front().until + this->settle_duration() <= now) {
        this->past_views.pop_front();
    }
    std::erase_if(this->last_seen, [this, now](const auto& seen) {
        return seen.second + this->timing.quorum_retention <= now;
    });
    for (auto& [id, upstream] : this->upstreams) {
        this->expire_holders(upstream, now);
    }
    std::erase_if(this->upstreams, [](const auto& entry) {
        return entry.second.orphans.empty() && entry.second.holders.empty();
    });
}

auto cold_slot_coordinator::expire_holders(upstream_record& upstream,
                                           core::time_point now) const -> void
{
    const auto has_ended = [now](const grant& held) {
        return held.occupied_until <= now;
    };
    std::erase_if(upstream.orphans, has_ended);
    for (auto& [node, record] : upstream.holders) {
        std::erase_if(record.grants, has_ended);
    }
    // Holders are kept long enough to detect late duplicates of their requests
    // by the sequence.
    std::erase_if(upstream.holders, [this, now](const auto& entry) {
        const auto& record = entry.second;
        return record.grants.empty() &&
               record.in_flight_until + this->timing.quorum_retention <= now;
    });
}

auto cold_slot_coordinator::ready_at(const core::upstream_id& id) const
    -> core::time_point
{
    auto since = this->settling_since;
    for (const auto& old : this->past_views) {
        if (coordinator_of(id, old.members) != this->self) {
            since = std::max(since, old.until);
        }
    }
    return since + this->settle_duration();
}

auto cold_slot_coordinator::has_quorum(core::time_point now) const -> bool
{
    auto recent_members = this->view.members.size();
    for (const auto& [member, seen] : this->last_seen) {
        const auto is_present = std::ranges::find(this->view.members, member) !=
                                this->view.members.end();
        const auto is_recent = now < seen + this->timing.quorum_retention;
        recent_members += !is_present && is_recent ? 1 : 0;
    }
    return 2 * this->view.members.size() > recent_members;
}

auto cold_slot_coordinator::occupied_slots(const holder_record& holder_state,
                                           core::time_point now)
    -> std::uint32_t
{
    auto most =
        now < holder_state.in_flight_until ? holder_state.in_flight : 0U;
    for (const auto& held : holder_state.grants) {
        if (now < held.occupied_until) {
            most = std::max(most, held.slots);
        }
    }
    return most;
}

auto cold_slot_coordinator::slots_occupied_by_others(
    const upstream_record& upstream, const core::node_id& holder,
    core::time_point now) -> std::uint32_t
{
    auto sum = 0U;
    for (const auto& [node, record] : upstream.holders) {
        sum += node == holder ? 0U : occupied_slots(record, now);
    }
    for (const auto& held : upstream.orphans) {
        sum += now < held.occupied_until ? held.slots : 0U;
    }
    return sum;
}

auto cold_slot_coordinator::update_holder(upstream_record& upstream,
                                          const core::node_id& holder,
                                          const cold_slot_request& request,
                                          core::time_point now) -> bool
{
    auto& record = upstream.holders[holder];
    if (request.holder_start < record.start ||
        (request.holder_start == record.start &&
         request.sequence <= record.last_sequence)) {
        return false;
    }
    if (request.holder_start > record.start) {
        const auto still_occupied = occupied_slots(record, now);
        if (still_occupied > 0) {
            upstream.orphans.push_back({0, still_occupied,
                                        now + this->timing.grant_duration +
                                            this->timing.longest_dispatch});
        }
        record = holder_record();
        record.start = request.holder_start;
    }
    record.last_sequence = request.sequence;
    record.in_flight = request.in_flight;
    record.in_flight_until = now + this->timing.longest_dispatch;
    std::erase_if(record.grants, [&request](const grant& held) {
        return held.sequence < request.min_valid_sequence;
    });
    if (request.wanted > 0) {
        record.last_wanted = now;
    }
    return true;
}

auto cold_slot_coordinator::fair_share(const upstream_record& upstream,
                                       std::uint32_t capacity,
                                       core::time_point now) const
    -> std::uint32_t
{
    const auto window = 2 * this->timing.grant_duration;
    const auto requesters = std::ranges::count_if(
        upstream.holders, [now, window](const auto& entry) {
            return now - window < entry.second.last_wanted;
        });
    return std::max(1U, capacity / std::max(std::uint32_t(requesters), 1U));
}

// While more nodes request slots than are available, each holder loses its
// priority after a turn of one grant duration, and free slots go to the node
// that has waited longest.
auto cold_slot_coordinator::requesters_ahead(const upstream_record& upstream,
                                             const core::node_id& holder,
                                             core::time_point now) const
    -> std::uint32_t
{
    const auto& own = upstream.holders.at(holder);
    const auto turn = this->timing.grant_duration;
    if (own.turn_start.has_value() && now < *own.turn_start + turn) {
        return 0;
    }
    const auto since = own.unserved_since.value_or(now);
    const auto ahead =
        std::ranges::count_if(upstream.holders, [&](const auto& entry) {
            const auto& other = entry.second;
            return entry.first != holder && now - turn < other.last_wanted &&
                   other.unserved_since.value_or(since) < since;
        });
    return std::uint32_t(ahead);
}

auto cold_slot_coordinator::decide(upstream_record& upstream,
                                   const core::node_id& holder,
                                   const cold_slot_request& request,
                                   std::uint32_t capacity, core::time_point now)
    -> std::uint32_t
{
    auto& record = upstream.holders[holder];
    const auto taken = slots_occupied_by_others(upstream, holder, now) +
                       this->requesters_ahead(upstream, holder, now);
    const auto free = capacity > taken ? capacity - taken : 0U;
    const auto slots = std::min(
        {request.wanted, free, this->fair_share(upstream, capacity, now)});
    if (slots == 0) {
        record.turn_start.reset();
        if (request.wanted > 0) {
            record.unserved_since = record.unserved_since.value_or(now);
        }
        return 0;
    }
    record.unserved_since.reset();
    const auto turn_ended =
        record.turn_start.has_value() &&
        now >= *record.turn_start + this->timing.grant_duration;
    if (!record.turn_start.has_value() || turn_ended) {
        record.turn_start = now;
    }
    record.grants.push_back(
        {request.sequence, slots,
         now + this->timing.grant_duration + this->timing.longest_dispatch});
    return slots;
}

auto cold_slot_coordinator::handle_request(const core::node_id& holder,
                                           const cold_slot_request& request,
                                           std::uint32_t capacity,
                                           core::time_point now)
    -> cold_slot_response
{
    this->tick(now);
    auto response = cold_slot_response();
    response.id = request.id;
    response.sequence = request.sequence;
    response.valid_for = this->timing.grant_duration;
    response.retry_after = this->timing.grant_duration / 4;
    if (coordinator_of(request.id, this->view.members) != this->self) {
        response.verdict = cold_verdict::not_coordinator;
        return response;
    }
    auto& upstream = this->upstreams[request.id];
    if (!this->update_holder(upstream, holder, request, now)) {
        return response;
    }
    const auto ready = this->ready_at(request.id);
    if (now < ready) {
        response.verdict = cold_verdict::waiting;
        response.retry_after = ready - now;
        return response;
    }
    if (!this->has_quorum(now)) {
        response.verdict = cold_verdict::no_quorum;
        response.retry_after = this->timing.grant_duration;
        return response;
    }
    response.slots = this->decide(upstream, holder, request, capacity, now);
    return response;
}

} // namespace almondtiller::routing
