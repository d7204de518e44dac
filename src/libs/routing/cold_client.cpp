#include "routing/cold_client.h"

#include <algorithm>
#include <utility>

namespace almondtiller::routing {

cold_client::cold_client(core::node_id self, std::uint64_t start,
                         cold_timing timing)
    : self(std::move(self)), start(start), timing(timing), members({this->self})
{}

auto cold_client::set_timing(const cold_timing& timing) -> void
{
    this->timing = timing;
}

auto cold_client::set_view(const member_view& view) -> void
{
    this->members = view.members;
}

auto cold_client::poll(const std::vector<slot_demand>& demands,
                       core::time_point now) -> plan
{
    ++this->polls;
    auto planned = plan();
    for (const auto& wanted : demands) {
        auto& state = this->upstreams[wanted.upstream.id];
        state.pool = wanted.pool;
        state.last_poll = this->polls;
        this->poll_upstream(state, wanted, now, planned);
    }
    this->release_warm_upstreams(now, planned);
    return planned;
}

auto cold_client::poll_upstream(upstream_state& state,
                                const slot_demand& wanted, core::time_point now,
                                plan& planned) -> void
{
    const auto holds_slots = state.slots > 0 && now < state.expires;
    if (state.pending.has_value() && !state.is_releasing) {
        const auto is_lost =
            now >= state.pending->sent + this->timing.grant_duration / 2;
        if (!is_lost) {
            return;
        }
        state.pending.reset();
    }
    if (wanted.upstream.wanted == 0) {
        this->poll_without_demand(state, wanted, now, planned);
        return;
    }
    state.is_releasing = false;
    const auto renewal_due =
        now + this->timing.grant_duration / 2 >= state.expires;
    if (now >= state.next_request && (!holds_slots || renewal_due)) {
        this->add_request(state, wanted, now, planned);
    }
}

// Slots are released locally one poll before the release is reported to the
// coordinator. The number of attempts in flight is read before each poll, so
// that the reported number includes every attempt that used the slots.
auto cold_client::poll_without_demand(upstream_state& state,
                                      const slot_demand& wanted,
                                      core::time_point now, plan& planned)
    -> void
{
    if (state.slots > 0 && now < state.expires) {
        state.slots = 0;
        state.is_releasing = true;
        state.pending.reset();
        planned.grants.push_back(
            {state.pool, {wanted.upstream.id, "", 0, state.expires}});
        return;
    }
    if (state.is_releasing ||
        wanted.upstream.in_flight < state.reported_in_flight) {
        state.is_releasing = false;
        state.min_valid_sequence = this->next_sequence;
        this->add_request(state, wanted, now, planned);
    }
}

auto cold_client::add_request(upstream_state& state, const slot_demand& wanted,
                              core::time_point now, plan& planned) -> void
{
    const auto target = coordinator_of(wanted.upstream.id, this->members);
    if (target.empty()) {
        state.next_request = now + this->timing.grant_duration;
        planned.denials.push_back(
            {state.pool, wanted.upstream.id, this->timing.grant_duration});
        return;
    }
    auto slot_request = cold_slot_request();
    slot_request.id = wanted.upstream.id;
    slot_request.pool = wanted.pool;
    slot_request.holder_start = this->start;
    slot_request.sequence = this->next_sequence++;
    slot_request.min_valid_sequence = state.min_valid_sequence;
    slot_request.wanted = wanted.upstream.wanted;
    slot_request.in_flight = wanted.upstream.in_flight;
    state.reported_in_flight = slot_request.in_flight;
    state.pending = pending_request{slot_request.sequence, target, now};
    planned.requests.push_back({target, std::move(slot_request)});
}

// An upstream that this node no longer considers cold needs no slots, and
// attempts sent to it as a warm upstream are not counted by the coordinator.
auto cold_client::release_warm_upstreams(core::time_point now, plan& planned)
    -> void
{
    for (auto& [id, state] : this->upstreams) {
        if (state.last_poll == this->polls) {
            continue;
        }
        if (state.slots > 0 && now < state.expires) {
            planned.grants.push_back({state.pool, {id, "", 0, state.expires}});
        }
        if (state.min_valid_sequence > 0) {
            auto released = slot_demand();
            released.pool = state.pool;
            released.upstream.id = id;
            state.min_valid_sequence = this->next_sequence;
            this->add_request(state, released, now, planned);
        }
    }
    std::erase_if(this->upstreams, [this](const auto& entry) {
        return entry.second.last_poll != this->polls;
    });
}

auto cold_client::on_response(const core::node_id& sender,
                              const cold_slot_response& response,
                              core::time_point now) -> outcome
{
    const auto found = this->upstreams.find(response.id);
    if (found == this->upstreams.end()) {
        return {};
    }
    auto& state = found->second;
    if (!state.pending.has_value() ||
        state.pending->sequence != response.sequence ||
        state.pending->target != sender) {
        return {};
    }
    const auto sent = state.pending->sent;
    state.pending.reset();
    const auto expires = sent + response.valid_for;
    const auto is_coordinator =
        coordinator_of(response.id, this->members) == sender;
    if (response.verdict != cold_verdict::decided || !is_coordinator ||
        now >= expires) {
        const auto pause =
            std::min(response.retry_after, this->timing.grant_duration / 4);
        state.next_request = now + pause;
        return denial{state.pool, response.id, response.retry_after};
    }
    state.min_valid_sequence = response.sequence;
    state.slots = response.slots;
    state.expires = expires;
    if (response.slots == 0) {
        state.next_request = now + this->timing.grant_duration / 10;
    }
    return grant_change{state.pool, {response.id, "", response.slots, expires}};
}

auto cold_client::on_failure(const core::upstream_id& id,
                             std::uint64_t sequence, core::time_point now)
    -> outcome
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || !found->second.pending.has_value() ||
        found->second.pending->sequence != sequence) {
        return {};
    }
    auto& state = found->second;
    state.pending.reset();
    state.next_request = now + this->timing.grant_duration / 4;
    return denial{state.pool, id, this->timing.grant_duration};
}

} // namespace almondtiller::routing
