#include "services/claims/claim_router.h"

#include "fleet/fleet_errc.h"
#include "services/claims/claim_messages.h"
#include "services/claims/claims_metrics.h"

#include <xxhash.h>

#include <algorithm>

namespace almondtiller::services {

namespace {

constexpr auto message_timeout = core::milliseconds(300);
/// How long the owner may take to record an end before this node does.
constexpr auto record_patience = core::milliseconds(2000);
/// A decision made at the deadline may arrive a little later.
constexpr auto decision_grace = core::milliseconds(5000);

auto rank(const core::node_id& id, std::uint32_t bucket) -> std::uint64_t
{
    const auto text = id.str() + "/claim/" + std::to_string(bucket);
    return XXH3_64bits(text.data(), text.size());
}

auto timed_out(const std::string& claim) -> claims::claim_decided
{
    return {claim, claims::claims_errc::deadline_passed, {}, {}};
}

} // namespace

claim_router::claim_router(fleet::peer_bus& peers, bucket_set& buckets,
                           core::runtime_clock& clock,
                           core::metrics_registry& metrics)
    : peers(peers), buckets(buckets), clock(clock), metrics(metrics)
{}

auto claim_router::handle_topics() -> void
{
    this->peers.handle(claim_want_topic,
                       [this](const auto& sender, const auto& body) {
                           return this->on_want(sender, body);
                       });
    this->peers.handle(claim_decided_topic,
                       [this](const auto&, const auto& body) {
                           return this->on_decided(body);
                       });
    this->peers.handle(claim_end_topic,
                       [this](const auto& sender, const auto& body) {
                           return this->on_end(sender, body);
                       });
    this->peers.handle(claim_recorded_topic,
                       [this](const auto&, const auto& body) {
                           return this->on_recorded(body);
                       });
}

auto claim_router::want(claims::claim_wanted wanted,
                        const std::string& second_claim)
    -> claims::claim_decided
{
    const auto owner = this->owner_of(wanted.key);
    if (owner == this->peers.self().id) {
        this->count("here");
        return this->want_here(wanted);
    }
    if (const auto decided = this->want_at(owner, wanted)) {
        this->count("owner");
        return *decided;
    }
    this->count("owner_silent");
    wanted.claim = second_claim;
    return this->want_here(wanted);
}

auto claim_router::finish(const std::string& key,
                          const claims::claim_record& end) -> void
{
    const auto retry_at = this->clock.now() + record_patience;
    {
        const auto guard = std::lock_guard(this->mutex);
        this->unrecorded[end.claim] = {key, end, retry_at};
    }
    const auto owner = this->owner_of(key);
    if (owner == this->peers.self().id) {
        this->finish_here(key, end);
        return;
    }
    this->send(owner, claim_end_topic, encode(end_message{key, end}),
               [this, key, end] { this->finish_here(key, end); });
}

auto claim_router::advance() -> void
{
    auto late = std::vector<unrecorded_end>();
    {
        const auto guard = std::lock_guard(this->mutex);
        const auto now = this->clock.now();
        for (auto& [claim, each] : this->unrecorded) {
            if (each.retry_at <= now) {
                each.retry_at = now + record_patience;
                late.push_back(each);
            }
        }
    }
    for (const auto& each : late) {
        this->finish_here(each.key, each.end);
    }
}

auto claim_router::unrecorded_count() const -> std::size_t
{
    const auto guard = std::lock_guard(this->mutex);
    return this->unrecorded.size();
}

auto claim_router::owner_of(const std::string& key) const -> core::node_id
{
    const auto bucket = claims::bucket_of(key, claim_bucket_count);
    auto best = this->peers.self().id;
    for (const auto& member : this->peers.members()) {
        if (member.state == fleet::member_state::alive &&
            rank(member.id, bucket) > rank(best, bucket)) {
            best = member.id;
        }
    }
    return best;
}

auto claim_router::want_here(const claims::claim_wanted& wanted)
    -> claims::claim_decided
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->waiting.insert(wanted.claim);
    }
    this->buckets.for_key(wanted.key).want(wanted, [this](const auto& each) {
        this->note_decided(each);
    });
    const auto limit = wanted.deadline + decision_grace;
    return this->wait_for_decision(wanted.claim, limit)
        .value_or(timed_out(wanted.claim));
}

auto claim_router::want_at(const core::node_id& owner,
                           const claims::claim_wanted& wanted)
    -> std::optional<claims::claim_decided>
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->waiting.insert(wanted.claim);
    }
    const auto left = std::chrono::floor<core::milliseconds>(wanted.deadline -
                                                             this->clock.now());
    this->send(owner, claim_want_topic, encode(want_message{wanted, left}),
               [this, claim = wanted.claim] { this->note_failed(claim); });
    return this->wait_for_decision(wanted.claim, wanted.deadline);
}

auto claim_router::finish_here(const std::string& key,
                               const claims::claim_record& end) -> void
{
    this->buckets.for_key(key).finish(
        key, end, [this](const auto& claim) { this->note_recorded(claim); });
}

/// A grant that came too late for its request: it was never used.
auto claim_router::release(const std::string& key,
                           const claims::claim_decided& decided) -> void
{
    this->buckets.for_key(key).finish(key, decided.record, [](const auto&) {});
}

auto claim_router::on_want(const core::node_id& sender, const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(message, decode_want(body));
    auto wanted = message.wanted;
    wanted.deadline = this->clock.now() + message.time_left;
    this->buckets.for_key(wanted.key)
        .want(wanted, [this, sender, key = wanted.key](const auto& each) {
            this->send(sender, claim_decided_topic,
                       encode(decided_message{key, each}), [] {});
        });
    return std::string();
}

auto claim_router::on_decided(const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(message, decode_decided(body));
    const auto& each = message.decided;
    const auto is_grant =
        !each.error && each.verdict == claims::claim_verdict::granted;
    if (!this->note_decided(each) && is_grant) {
        this->release(message.key, each);
    }
    return std::string();
}

auto claim_router::on_end(const core::node_id& sender, const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(message, decode_end(body));
    this->buckets.for_key(message.key)
        .finish(message.key, message.record, [this, sender](const auto& claim) {
            this->send(sender, claim_recorded_topic, claim, [] {});
        });
    return std::string();
}

auto claim_router::on_recorded(const std::string& body)
    -> core::result<std::string>
{
    this->note_recorded(body);
    return std::string();
}

auto claim_router::send(const core::node_id& target, const char* topic,
                        const std::string& body,
                        std::function<void()> on_failure) -> void
{
    this->peers.call(target, topic, body, message_timeout,
                     [on_failure = std::move(on_failure)](const auto& reply) {
                         if (!reply) {
                             on_failure();
                         }
                     });
}

auto claim_router::note_failed(const std::string& claim) -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        if (this->waiting.contains(claim)) {
            this->failed.insert(claim);
        }
    }
    this->changed.notify_all();
}

auto claim_router::note_decided(const claims::claim_decided& each) -> bool
{
    {
        const auto guard = std::lock_guard(this->mutex);
        if (!this->waiting.contains(each.claim)) {
            return false;
        }
        this->decided.emplace(each.claim, each);
    }
    this->changed.notify_all();
    return true;
}

auto claim_router::note_recorded(const std::string& claim) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->unrecorded.erase(claim);
}

auto claim_router::wait_for_decision(const std::string& claim,
                                     core::time_point limit)
    -> std::optional<claims::claim_decided>
{
    auto lock = std::unique_lock(this->mutex);
    this->clock.wait_until(lock, this->changed, limit, [this, &claim] {
        return this->decided.contains(claim) || this->failed.contains(claim);
    });
    this->waiting.erase(claim);
    auto found = this->decided.extract(claim);
    const auto has_failed = this->failed.erase(claim) > 0;
    if (!found.empty()) {
        return found.mapped();
    }
    return has_failed ? std::nullopt : std::optional(timed_out(claim));
}

auto claim_router::count(const char* route) -> void
{
    this->metrics.counter_for(claim_routes, {{"route", route}}).add();
}

} // namespace almondtiller::services
