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

auto cold_client::set_view(const cold_view& view) -> void
{
    this->members = view.members;
}

auto cold_client::poll(const std::vector<want>& wants, core::time_point now)
    -> plan
{
    ++this->polls;
    auto planned = plan();
    for (const auto& wanted : wants) {
        auto& of = this->upstreams[wanted.upstream.id];
        of.pool = wanted.pool;
        of.last_poll = this->polls;
        this->poll_one(of, wanted, now, planned);
    }
    this->drop_warm(now, planned);
    return planned;
}

auto cold_client::poll_one(state& of, const want& wanted, core::time_point now,
                           plan& planned) -> void
{
    const auto holds = of.slots > 0 && now < of.expires;
    if (of.pending.has_value() && !of.releasing) {
        const auto is_lost =
            now >= of.pending->sent + this->timing.grant_duration / 2;
        if (!is_lost) {
            return;
        }
        of.pending.reset();
    }
    if (wanted.upstream.wanted == 0) {
        this->poll_idle(of, wanted, now, planned);
        return;
    }
    of.releasing = false;
    const auto renews = now + this->timing.grant_duration / 2 >= of.expires;
    if (now >= of.next_ask && (!holds || renews)) {
        this->send(of, wanted, now, planned);
    }
}

// Slots are released locally one poll before the release is reported to the
// coordinator. The number of attempts in flight is read before each poll, so
// that the reported number includes every attempt that used the slots.
auto cold_client::poll_idle(state& of, const want& wanted, core::time_point now,
                            plan& planned) -> void
{
    if (of.slots > 0 && now < of.expires) {
        of.slots = 0;
        of.releasing = true;
        of.pending.reset();
        planned.grants.push_back(
            {of.pool, {wanted.upstream.id, "", 0, of.expires}});
        return;
    }
    if (of.releasing || wanted.upstream.in_flight < of.stated) {
        of.releasing = false;
        of.floor = this->next_sequence;
        this->send(of, wanted, now, planned);
    }
}

auto cold_client::send(state& of, const want& wanted, core::time_point now,
                       plan& planned) -> void
{
    const auto target = steward_of(wanted.upstream.id, this->members);
    if (target.empty()) {
        of.next_ask = now + this->timing.grant_duration;
        planned.denials.push_back(
            {of.pool, wanted.upstream.id, this->timing.grant_duration});
        return;
    }
    auto asked = cold_ask();
    asked.id = wanted.upstream.id;
    asked.pool = wanted.pool;
    asked.holder_start = this->start;
    asked.sequence = this->next_sequence++;
    asked.floor = of.floor;
    asked.wanted = wanted.upstream.wanted;
    asked.in_flight = wanted.upstream.in_flight;
    of.stated = asked.in_flight;
    of.pending = pending_ask{asked.sequence, target, now};
    planned.requests.push_back({target, std::move(asked)});
}

// An upstream that this node no longer considers cold needs no slots, and
// attempts sent to it as a warm upstream are not counted by the coordinator.
auto cold_client::drop_warm(core::time_point now, plan& planned) -> void
{
    for (auto& [id, of] : this->upstreams) {
        if (of.last_poll == this->polls) {
            continue;
        }
        if (of.slots > 0 && now < of.expires) {
            planned.grants.push_back({of.pool, {id, "", 0, of.expires}});
        }
        if (of.floor > 0) {
            auto released = want();
            released.pool = of.pool;
            released.upstream.id = id;
            of.floor = this->next_sequence;
            this->send(of, released, now, planned);
        }
    }
    std::erase_if(this->upstreams, [this](const auto& entry) {
        return entry.second.last_poll != this->polls;
    });
}

auto cold_client::on_offer(const core::node_id& sender, const cold_offer& offer,
                           core::time_point now) -> outcome
{
    const auto found = this->upstreams.find(offer.id);
    if (found == this->upstreams.end()) {
        return {};
    }
    auto& of = found->second;
    if (!of.pending.has_value() || of.pending->sequence != offer.sequence ||
        of.pending->target != sender) {
        return {};
    }
    const auto sent = of.pending->sent;
    of.pending.reset();
    const auto expires = sent + offer.valid_for;
    const auto is_steward = steward_of(offer.id, this->members) == sender;
    if (offer.verdict != cold_verdict::decided || !is_steward ||
        now >= expires) {
        const auto pause =
            std::min(offer.retry_after, this->timing.grant_duration / 4);
        of.next_ask = now + pause;
        return denial{of.pool, offer.id, offer.retry_after};
    }
    of.floor = offer.sequence;
    of.slots = offer.slots;
    of.expires = expires;
    if (offer.slots == 0) {
        of.next_ask = now + this->timing.grant_duration / 10;
    }
    return grant_change{of.pool, {offer.id, "", offer.slots, expires}};
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
    auto& of = found->second;
    of.pending.reset();
    of.next_ask = now + this->timing.grant_duration / 4;
    return denial{of.pool, id, this->timing.grant_duration};
}

} // namespace almondtiller::routing
