#include "fleet/config_publisher.h"

#include "fleet/fleet_errc.h"
#include "platform/platform_errc.h"

#include <algorithm>
#include <set>

namespace almondtiller::fleet {

namespace {

using platform::platform_errc;

constexpr auto call_timeout = core::milliseconds(1000);
constexpr auto retry_pause = core::milliseconds(50);
constexpr auto max_shard_attempts = 3;
constexpr auto max_zone_attempts = 8;

auto head_key() -> platform::object_key
{
    return {config_kind, config_head_name};
}

auto rejected(std::error_code reason, std::uint64_t revision) -> change_outcome
{
    return {change_state::not_applied, revision, reason,
            change_evidence::not_sent, ""};
}

/// \return The zone states of the next head. A zone keeps its state in force
///         where its declared state does not change.
auto merge_zone_states(const zone_states& in_force,
                       const settings::snapshot& old,
                       const settings::snapshot& wanted) -> zone_states
{
    auto next = zone_states();
    for (const auto& [name, zone] : wanted.zones) {
        const auto current = in_force.find(name);
        const auto before = old.zones.find(name);
        const auto is_kept = current != in_force.end() &&
                             before != old.zones.end() &&
                             before->second.state == zone.state;
        next.emplace(name, is_kept ? current->second : zone.state);
    }
    return next;
}

} // namespace

/// The head with the object version that the next update expects.
struct config_publisher::versioned_head
{
    config_head head;
    std::uint64_t version = 0; ///< 0 when there is no head yet.
};

auto to_string(change_state state) -> std::string
{
    switch (state) {
    case change_state::applied:
        return "applied";
    case change_state::not_applied:
        return "not_applied";
    case change_state::unknown:
        return "unknown";
    }
    return "unknown";
}

auto to_string(change_evidence evidence) -> std::string
{
    switch (evidence) {
    case change_evidence::answer:
        return "answer";
    case change_evidence::head_reread:
        return "head_reread";
    case change_evidence::head_fenced:
        return "head_fenced";
    case change_evidence::not_sent:
        return "not_sent";
    case change_evidence::none:
        return "none";
    }
    return "none";
}

config_publisher::config_publisher(platform::object_store& store,
                                   const core::runtime_clock& clock,
                                   std::uint64_t seed,
                                   core::milliseconds change_timeout)
    : store(store), clock(clock), random(seed), change_timeout(change_timeout)
{}

auto config_publisher::publish(const settings::declaration_tree& wanted,
                               const change_info& info,
                               std::optional<std::uint64_t> expected_revision)
    -> change_outcome
{
    const auto old = this->read_head();
    if (!old) {
        return rejected(old.error(), 0);
    }
    const auto& head = old.value().head;
    if (expected_revision.value_or(head.revision) != head.revision) {
        return rejected(fleet_errc::revision_conflict, head.revision);
    }
    const auto tree = this->read_tree(head);
    if (!tree) {
        return rejected(tree.error(), head.revision);
    }
    const auto shards = split_tree(wanted);
    if (const auto error = this->write_shards(shards, head)) {
        return rejected(error, head.revision);
    }
    auto next = head;
    next.shards.clear();
    for (const auto& shard : shards) {
        next.shards.push_back(shard.ref);
    }
    next.zones =
        merge_zone_states(head.zones, *settings::resolve(tree.value(), 0),
                          *settings::resolve(wanted, 0));
    return this->commit(old.value(), std::move(next), info);
}

auto config_publisher::set_zone_state(const core::zone_name& zone,
                                      settings::zone_state state,
                                      const change_info& info) -> change_outcome
{
    const auto deadline = this->clock.now() + this->change_timeout;
    auto outcome = change_outcome();
    for (auto attempt = 0; attempt < max_zone_attempts; ++attempt) {
        const auto old = this->read_head();
        if (!old) {
            return rejected(old.error(), 0);
        }
        const auto& head = old.value().head;
        if (!head.zones.contains(zone)) {
            return rejected(fleet_errc::unknown_zone, head.revision);
        }
        auto next = head;
        next.zones[zone] = state;
        outcome = this->commit(old.value(), std::move(next), info);
        const auto lost_race = outcome.state == change_state::not_applied &&
                               outcome.reason == fleet_errc::revision_conflict;
        if (!lost_race || !this->pause_before_retry(deadline)) {
            return outcome;
        }
    }
    return outcome;
}

auto config_publisher::current() -> core::result<stored_config>
{
    BOOST_OUTCOME_TRY(old, this->read_head());
    BOOST_OUTCOME_TRY(tree, this->read_tree(old.head));
    return stored_config{tree, old.head.revision, old.head.zones,
                         old.head.changes};
}

auto config_publisher::read_head() -> core::result<versioned_head>
{
    const auto found = this->store.get(head_key(), call_timeout);
    if (!found && found.error() == platform_errc::not_found) {
        return versioned_head();
    }
    if (!found) {
        return found.error();
    }
    BOOST_OUTCOME_TRY(head, decode_head(found.value().value));
    return versioned_head{head, found.value().version};
}

auto config_publisher::read_tree(const config_head& head)
    -> core::result<settings::declaration_tree>
{
    auto texts = shard_texts();
    for (const auto& shard : head.shards) {
        BOOST_OUTCOME_TRY(
            found,
            this->store.get({config_shard_kind, shard.digest}, call_timeout));
        if (shard_digest(found.value) != shard.digest) {
            return make_error_code(fleet_errc::digest_mismatch);
        }
        texts.emplace(shard.digest, found.value);
    }
    return merge_shards(head.shards, texts);
}

auto config_publisher::write_shards(const std::vector<config_shard>& shards,
                                    const config_head& old) -> std::error_code
{
    auto stored = std::set<std::string>();
    for (const auto& shard : old.shards) {
        stored.insert(shard.digest);
    }
    for (const auto& shard : shards) {
        if (stored.contains(shard.ref.digest)) {
            continue;
        }
        auto error = std::error_code();
        for (auto attempt = 0; attempt < max_shard_attempts; ++attempt) {
            const auto written =
                this->store.create({config_shard_kind, shard.ref.digest},
                                   shard.text, call_timeout);
            error = written ? std::error_code() : written.error();
            if (error != platform_errc::outcome_unknown) {
                break;
            }
        }
        if (error && error != platform_errc::already_exists) {
            return error;
        }
    }
    return {};
}

auto config_publisher::write_head(const versioned_head& old,
                                  const config_head& next) -> std::error_code
{
    const auto text = encode_head(next);
    const auto written =
        old.version == 0
            ? this->store.create(head_key(), text, call_timeout)
            : this->store.update(head_key(), old.version, text, call_timeout);
    return written ? std::error_code() : written.error();
}

auto config_publisher::commit(const versioned_head& old, config_head next,
                              const change_info& info) -> change_outcome
{
    const auto when = this->clock.wall_now().time_since_epoch();
    const auto change = change_record{
        this->random.hex_id(), info.who, info.what,
        std::chrono::duration_cast<core::milliseconds>(when).count(),
        old.head.revision + 1};
    next.revision = change.revision;
    next.changes.push_back(change);
    if (next.changes.size() > max_head_changes) {
        next.changes.erase(next.changes.begin());
    }
    const auto deadline = this->clock.now() + this->change_timeout;
    const auto error = this->write_head(old, next);
    if (!error) {
        return {change_state::applied,
                change.revision,
                {},
                change_evidence::answer,
                change.id};
    }
    if (error == platform_errc::outcome_unknown) {
        return this->resolve_unknown_outcome(old, change, deadline);
    }
    const auto is_conflict = error == platform_errc::version_conflict ||
                             error == platform_errc::already_exists;
    return {change_state::not_applied, old.head.revision,
            is_conflict ? make_error_code(fleet_errc::revision_conflict)
                        : error,
            change_evidence::answer, change.id};
}

auto config_publisher::resolve_unknown_outcome(const versioned_head& old,
                                               const change_record& change,
                                               core::time_point deadline)
    -> change_outcome
{
    do {
        if (auto outcome = this->check_outcome(old, change)) {
            return *outcome;
        }
    } while (this->pause_before_retry(deadline));
    return {change_state::unknown, old.head.revision,
            platform_errc::outcome_unknown, change_evidence::none, change.id};
}

auto config_publisher::check_outcome(const versioned_head& old,
                                     const change_record& change)
    -> std::optional<change_outcome>
{
    const auto found = this->read_head();
    if (!found) {
        return std::nullopt;
    }
    const auto& head = found.value().head;
    if (found.value().version == old.version) {
        // The update may still be in flight. Rewriting the same content
        // advances the object's version, so that the update then fails.
        if (this->write_head(old, old.head)) {
            return std::nullopt;
        }
        return change_outcome{change_state::not_applied, head.revision,
                              platform_errc::unavailable,
                              change_evidence::head_fenced, change.id};
    }
    const auto listed_change = std::find_if(
        head.changes.begin(), head.changes.end(),
        [&](const auto& listed) { return listed.revision == change.revision; });
    if (listed_change != head.changes.end() && listed_change->id == change.id) {
        return change_outcome{change_state::applied,
                              change.revision,
                              {},
                              change_evidence::head_reread,
                              change.id};
    }
    if (listed_change == head.changes.end() &&
        head.revision >= change.revision) {
        return change_outcome{change_state::unknown, head.revision,
                              fleet_errc::change_forgotten,
                              change_evidence::none, change.id};
    }
    return change_outcome{change_state::not_applied, head.revision,
                          fleet_errc::revision_conflict,
                          change_evidence::head_reread, change.id};
}

auto config_publisher::pause_before_retry(core::time_point deadline) -> bool
{
    const auto jitter = core::milliseconds(
        this->random.below(std::uint64_t(retry_pause.count())));
    const auto until = this->clock.now() + retry_pause + jitter;
    if (until >= deadline) {
        return false;
    }
    auto mutex = std::mutex();
    auto condition = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    this->clock.wait_until(lock, condition, until, [] { return false; });
    return true;
}

} // namespace almondtiller::fleet
