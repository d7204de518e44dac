#include "claims/claim_bucket.h"

#include "claims/claims_errc.h"
#include "platform/platform_errc.h"

#include <algorithm>
#include <utility>

namespace almondtiller::claims {

using platform::platform_errc;

namespace {

/// Upper bound of the JSON syntax and numbers of one record.
constexpr auto record_overhead_bytes = std::size_t(128);

/// \return An upper bound of the record's encoded size. Reserves space for the
///         answer of a claim that has not ended.
auto reserved_bytes(const std::string& key, const claim_record& record)
    -> std::size_t
{
    const auto answer = record.state == claim_state::claimed
                            ? max_inline_answer_bytes
                            : record.answer.size();
    return record_overhead_bytes + 2 * (key.size() + answer) +
           record.claim.size() + record.fingerprint.size() + record.node.size();
}

auto new_record(const claim_wanted& wanted, const moment& at) -> claim_record
{
    auto record = claim_record();
    record.claim = wanted.claim;
    record.fingerprint = wanted.fingerprint;
    record.node = wanted.node;
    record.incarnation = wanted.incarnation;
    record.claimed_at_ms = at.wall_ms;
    return record;
}

} // namespace

claim_bucket::claim_bucket(bucket_environment environment)
    : environment(std::move(environment))
{}

auto claim_bucket::want(const claim_wanted& wanted, const moment& at)
    -> bucket_actions
{
    auto actions = bucket_actions();
    if (wanted.deadline <= at.now) {
        actions.emplace_back(
            claim_decided{wanted.claim, claims_errc::deadline_passed, {}, {}});
        return actions;
    }
    this->claims.emplace(wanted.claim, pending_claim{wanted, false});
    this->start_next_call(at, actions);
    return actions;
}

auto claim_bucket::finish(const std::string& key, const claim_record& end,
                          const moment& at) -> bucket_actions
{
    auto actions = bucket_actions();
    const auto is_release = end.state == claim_state::claimed;
    this->ends[end.claim] = pending_end{key, end, is_release};
    this->start_next_call(at, actions);
    return actions;
}

auto claim_bucket::was_read(
    const core::result<std::pair<std::uint64_t, std::string>>& value,
    const moment& at) -> bucket_actions
{
    auto actions = bucket_actions();
    this->is_reading = false;
    const auto is_absent = !value && value.error() == platform_errc::not_found;
    const auto decoded = value
                             ? decode(value.value().second)
                             : core::result<bucket_contents>(bucket_contents());
    if ((!value && !is_absent) || !decoded) {
        this->retry_at = at.now + this->environment.retry_pause;
        this->reject_pending(claims_errc::store_unavailable, actions);
        return actions;
    }
    this->is_cached = true;
    this->version = value ? std::optional(value.value().first) : std::nullopt;
    this->contents = decoded.value();
    for (auto& [claim, pending] : this->claims) {
        pending.needs_fresh_read = false;
        pending.has_fresh_read = true;
    }
    this->decide_from_cache(at, actions);
    this->start_next_call(at, actions);
    return actions;
}

auto claim_bucket::was_written(const core::result<std::uint64_t>& written,
                               const moment& at) -> bucket_actions
{
    auto actions = bucket_actions();
    auto write = std::exchange(this->writing, std::nullopt);
    if (written) {
        this->has_unconfirmed_write = false;
        this->version = written.value();
        this->contents = std::move(write->contents);
        for (const auto& claim : write->ends) {
            this->ends.erase(claim);
            actions.emplace_back(end_recorded{claim});
        }
        std::erase_if(this->abandoned, [this](const auto& entry) {
            return !this->has_record(entry.first, entry.second);
        });
        this->decide_from_cache(at, actions);
        this->start_next_call(at, actions);
        return actions;
    }
    this->discard_cache();
    const auto error = written.error();
    if (error == platform_errc::outcome_unknown ||
        error == platform_errc::malformed_answer) {
        this->has_unconfirmed_write = true;
    } else if (error != platform_errc::version_conflict &&
               error != platform_errc::already_exists &&
               error != platform_errc::not_found) {
        this->retry_at = at.now + this->environment.retry_pause;
        if (error == platform_errc::unavailable) {
            this->reject_pending(claims_errc::store_unavailable, actions);
        }
    }
    this->start_next_call(at, actions);
    return actions;
}

auto claim_bucket::advance(const moment& at) -> bucket_actions
{
    auto actions = bucket_actions();
    for (auto entry = this->claims.begin(); entry != this->claims.end();) {
        if (entry->second.wanted.deadline > at.now) {
            ++entry;
            continue;
        }
        this->abandon(entry->first, entry->second.wanted.key);
        actions.emplace_back(
            claim_decided{entry->first, claims_errc::deadline_passed, {}, {}});
        entry = this->claims.erase(entry);
    }
    if (this->retry_at && *this->retry_at <= at.now) {
        this->retry_at.reset();
    }
    this->start_next_call(at, actions);
    return actions;
}

auto claim_bucket::next_timer() const -> std::optional<core::time_point>
{
    auto next = this->retry_at;
    if (this->is_write_delayed && (!next || this->next_write < *next)) {
        next = this->next_write;
    }
    for (const auto& [claim, pending] : this->claims) {
        if (!next || pending.wanted.deadline < *next) {
            next = pending.wanted.deadline;
        }
    }
    return next;
}

auto claim_bucket::pending() const -> std::size_t
{
    return this->claims.size() + this->ends.size();
}

auto claim_bucket::start_next_call(const moment& at, bucket_actions& actions)
    -> void
{
    if (this->is_reading || this->writing || this->retry_at) {
        return;
    }
    if (this->is_cached) {
        this->decide_from_cache(at, actions);
    }
    const auto has_work = !this->claims.empty() || !this->ends.empty() ||
                          !this->abandoned.empty();
    if (!has_work) {
        return;
    }
    const auto needs_read =
        std::ranges::any_of(this->claims, [](const auto& entry) {
            return entry.second.needs_fresh_read;
        });
    if (!this->is_cached || needs_read) {
        this->is_reading = true;
        actions.emplace_back(read_bucket{});
        return;
    }
    this->start_write(at, actions);
}

auto claim_bucket::decide_from_cache(const moment& at, bucket_actions& actions)
    -> void
{
    for (auto entry = this->claims.begin(); entry != this->claims.end();) {
        auto& pending = entry->second;
        const auto found = this->contents.records.find(pending.wanted.key);
        if (found == this->contents.records.end()) {
            ++entry;
            continue;
        }
        const auto decided = this->decide_claim(pending, found->second, at);
        if (!decided) {
            pending.needs_fresh_read = !pending.has_fresh_read;
            ++entry;
            continue;
        }
        actions.emplace_back(*decided);
        entry = this->claims.erase(entry);
    }
}

auto claim_bucket::decide_claim(const pending_claim& pending,
                                const claim_record& stored,
                                const moment& at) const
    -> std::optional<claim_decided>
{
    const auto& wanted = pending.wanted;
    const auto end = this->ends.find(stored.claim);
    const auto is_ended_here = end != this->ends.end();
    const auto& record = is_ended_here ? end->second.record : stored;
    auto decided =
        claim_decided{wanted.claim, {}, claim_verdict::granted, record};
    if (record.claim == wanted.claim) {
        return decided;
    }
    if (record.fingerprint != wanted.fingerprint) {
        decided.error = claims_errc::key_reused;
        return decided;
    }
    if (record.state == claim_state::completed) {
        decided.verdict = claim_verdict::replayed;
        return decided;
    }
    if (record.state == claim_state::unknown) {
        decided.verdict = claim_verdict::outcome_unknown;
        return decided;
    }
    if (is_ended_here) {
        return std::nullopt; // The release has not been written yet.
    }
    if (!pending.has_fresh_read) {
        return std::nullopt;
    }
    decided.verdict = this->environment.is_holder_alive(record, at)
                          ? claim_verdict::in_progress
                          : claim_verdict::outcome_unknown;
    return decided;
}

auto claim_bucket::start_write(const moment& at, bucket_actions& actions)
    -> void
{
    this->is_write_delayed = at.now < this->next_write;
    if (this->is_write_delayed) {
        return;
    }
    const auto oldest =
        at.wall_ms -
        std::chrono::milliseconds(this->environment.retention).count();
    auto write =
        write_in_flight{without_expired(this->contents, oldest), {}, {}};
    this->apply_ends(write);
    this->apply_claims(at, write, actions);
    auto needs_write = !write.claims.empty() || !write.ends.empty() ||
                       !this->abandoned.empty();
    if (!needs_write) {
        return;
    }
    actions.emplace_back(write_bucket{this->version, encode(write.contents)});
    this->writing = std::move(write);
    this->next_write = at.now + this->environment.write_interval;
}

auto claim_bucket::apply_ends(write_in_flight& write) const -> void
{
    auto& records = write.contents.records;
    for (const auto& [claim, key] : this->abandoned) {
        const auto found = records.find(key);
        if (found != records.end() && found->second.claim == claim) {
            records.erase(found);
        }
    }
    for (const auto& [claim, end] : this->ends) {
        write.ends.push_back(claim);
        const auto found = records.find(end.key);
        if (found == records.end() || found->second.claim != claim) {
            continue;
        }
        if (end.is_release) {
            records.erase(found);
        } else {
            found->second = end.record;
        }
    }
}

auto claim_bucket::apply_claims(const moment& at, write_in_flight& write,
                                bucket_actions& actions) -> void
{
    auto& records = write.contents.records;
    auto size = std::size_t(0);
    for (const auto& [key, record] : records) {
        size += reserved_bytes(key, record);
    }
    for (auto entry = this->claims.begin(); entry != this->claims.end();) {
        const auto& wanted = entry->second.wanted;
        if (records.contains(wanted.key)) {
            ++entry;
            continue;
        }
        auto record = new_record(wanted, at);
        const auto grown = size + reserved_bytes(wanted.key, record);
        if (grown > this->environment.max_value_bytes) {
            this->abandon(wanted.claim, wanted.key);
            actions.emplace_back(
                claim_decided{wanted.claim, claims_errc::bucket_full, {}, {}});
            entry = this->claims.erase(entry);
            continue;
        }
        size = grown;
        records.emplace(wanted.key, std::move(record));
        write.claims.push_back(wanted.claim);
        ++entry;
    }
}

auto claim_bucket::has_record(const std::string& claim,
                              const std::string& key) const -> bool
{
    const auto found = this->contents.records.find(key);
    return found != this->contents.records.end() &&
           found->second.claim == claim;
}

auto claim_bucket::reject_pending(std::error_code reason,
                                  bucket_actions& actions) -> void
{
    for (const auto& [claim, pending] : this->claims) {
        this->abandon(claim, pending.wanted.key);
        actions.emplace_back(claim_decided{claim, reason, {}, {}});
    }
    this->claims.clear();
}

auto claim_bucket::abandon(const std::string& claim, const std::string& key)
    -> void
{
    const auto is_write_pending =
        this->writing && std::ranges::find(this->writing->claims, claim) !=
                             this->writing->claims.end();
    if (is_write_pending || this->has_unconfirmed_write) {
        this->abandoned.emplace(claim, key);
    }
}

auto claim_bucket::discard_cache() -> void
{
    this->is_cached = false;
    this->version.reset();
    this->contents = bucket_contents();
}

} // namespace almondtiller::claims
