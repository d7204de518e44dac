#include "dispatch/serving_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// A service with fewer upstreams has a single owner: a few upstreams per zone
/// serve uneven load better as one pool.
constexpr auto min_upstreams_to_shard = std::size_t(24);
/// An upstream that is removed from the store may be registered again by the
/// same process within this time, and then still has its limit or is leaving.
constexpr auto statement_retention = core::milliseconds(60000);

} // namespace

auto known_upstream::cold_until() const -> core::time_point
{
    return this->changed_at + this->upstream.cold_left;
}

auto serving_state::apply(std::shared_ptr<const serving::configuration> newer)
    -> bool
{
    if (this->current && newer->version <= this->current->version) {
        return false;
    }
    this->current = std::move(newer);
    return true;
}

auto serving_state::update(const serving::upstream& upstream,
                           std::int64_t heartbeat_number, core::time_point now)
    -> bool
{
    const auto found = this->known.find(upstream.id);
    if (found == this->known.end()) {
        this->cached_counts.reset();
        this->known.emplace(
            upstream.id, known_upstream{upstream, heartbeat_number, now, {}});
        this->note_restart(upstream, now);
        return true;
    }
    auto& entry = found->second;
    const auto is_older = upstream.started_ms < entry.upstream.started_ms ||
                          (upstream.started_ms == entry.upstream.started_ms &&
                           heartbeat_number < entry.heartbeat_number);
    if (is_older) {
        return false;
    }
    if (upstream.started_ms != entry.upstream.started_ms) {
        this->cached_counts.reset();
        this->hold_offs.erase(upstream.id);
        this->stated_limits.erase(upstream.id);
        this->note_restart(upstream, now);
    }
    const auto was_removed = entry.kept_until.has_value();
    entry.kept_until.reset();
    auto comparable = upstream;
    comparable.cold_left = entry.upstream.cold_left;
    const auto stays_warm = upstream.cold_left.count() == 0 &&
                            entry.upstream.cold_left.count() == 0;
    entry.heartbeat_number = heartbeat_number;
    if (comparable == entry.upstream && stays_warm) {
        return was_removed;
    }
    entry.upstream = upstream;
    this->cached_counts.reset();
    entry.changed_at = now;
    return true;
}

auto serving_state::remove(const core::upstream_id& id,
                           std::optional<core::time_point> kept_until) -> bool
{
    const auto found = this->known.find(id);
    if (found == this->known.end()) {
        return false;
    }
    if (!kept_until || found->second.upstream.is_draining) {
        this->known.erase(found);
        this->cached_counts.reset();
        return true;
    }
    if (!found->second.kept_until) {
        found->second.kept_until = kept_until;
        this->next_expiry = std::min(this->next_expiry, *kept_until);
    }
    return false;
}

auto serving_state::apply_list(const std::set<core::upstream_id>& listed,
                               std::optional<core::time_point> kept_until)
    -> bool
{
    auto missing = std::vector<core::upstream_id>();
    for (const auto& [id, entry] : this->known) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    auto changed = false;
    for (const auto& id : missing) {
        changed = this->remove(id, kept_until) || changed;
    }
    return changed;
}

auto serving_state::note_restart(const serving::upstream& upstream,
                                 core::time_point now) -> void
{
    const auto found = this->announcements.find(upstream.id);
    if (found == this->announcements.end()) {
        return;
    }
    auto& announcement = found->second;
    if (announcement.started_ms &&
        *announcement.started_ms != upstream.started_ms &&
        !announcement.restart_seen_at) {
        announcement.restart_seen_at = now;
    }
}

auto serving_state::expire_announcements(core::time_point now) -> bool
{
    auto is_changed = false;
    std::erase_if(this->announcements, [&](const auto& item) {
        const auto& [id, announcement] = item;
        const auto is_registered = this->known.contains(id);
        const auto is_superseded =
            announcement.restart_seen_at &&
            *announcement.restart_seen_at + restart_confirmation <= now;
        const auto is_outdated =
            (!is_registered || !announcement.started_ms) &&
            announcement.announced_at + statement_retention <= now;
        is_changed =
            is_changed || (is_registered && (is_superseded || is_outdated));
        return is_superseded || is_outdated;
    });
    if (is_changed) {
        this->cached_counts.reset();
    }
    return is_changed;
}

auto serving_state::expire(core::time_point now) -> bool
{
    const auto is_usable_again = this->expire_announcements(now);
    std::erase_if(this->hold_offs,
                  [now](const auto& hold) { return hold.second <= now; });
    std::erase_if(this->stated_limits, [this, now](const auto& limit) {
        return !this->known.contains(limit.first) &&
               limit.second.stated_at + statement_retention <= now;
    });
    if (this->next_expiry > now) {
        return is_usable_again;
    }
    this->next_expiry = core::time_point::max();
    const auto expired =
        std::erase_if(this->known, [this, now](const auto& item) {
            if (!item.second.kept_until) {
                return false;
            }
            const auto is_expired = *item.second.kept_until <= now;
            if (!is_expired) {
                this->next_expiry =
                    std::min(this->next_expiry, *item.second.kept_until);
            }
            return is_expired;
        });
    if (expired > 0) {
        this->cached_counts.reset();
    }
    return expired > 0 || is_usable_again;
}

auto serving_state::mark_leaving(const core::upstream_id& id,
                                 core::time_point now) -> bool
{
    auto made = leave_announcement{now, std::nullopt, std::nullopt};
    const auto entry = this->known.find(id);
    if (entry != this->known.end()) {
        made.started_ms = entry->second.upstream.started_ms;
    }
    const auto [found, is_new] = this->announcements.try_emplace(id, made);
    if (!is_new && found->second.restart_seen_at) {
        found->second = made;
    }
    if (is_new) {
        this->cached_counts.reset();
    }
    return is_new;
}

auto serving_state::hold_off(const core::upstream_id& id,
                             core::time_point until) -> void
{
    auto& hold = this->hold_offs[id];
    hold = std::max(hold, until);
}

auto serving_state::set_limit(const core::upstream_id& id,
                              const request_limit& limit) -> bool
{
    const auto [found, is_new] = this->stated_limits.try_emplace(id, limit);
    auto& stated = found->second;
    const auto is_changed = is_new || stated.per_second != limit.per_second;
    stated = {limit.per_second, std::max(stated.stated_at, limit.stated_at)};
    return is_changed;
}

auto serving_state::end_limit(const core::upstream_id& id,
                              core::time_point requested_at) -> bool
{
    const auto found = this->stated_limits.find(id);
    if (found == this->stated_limits.end() ||
        found->second.stated_at > requested_at) {
        return false;
    }
    this->stated_limits.erase(found);
    return true;
}

auto serving_state::limits() const
    -> const std::map<core::upstream_id, request_limit>&
{
    return this->stated_limits;
}

auto serving_state::has_shared_rates(core::time_point now) const -> bool
{
    return !this->stated_limits.empty() ||
           std::any_of(this->known.begin(), this->known.end(),
                       [now](const auto& item) {
                           return item.second.cold_until() > now;
                       });
}

auto serving_state::held_off(core::time_point now) const
    -> std::map<core::upstream_id, core::time_point>
{
    auto held = this->hold_offs;
    std::erase_if(held, [now](const auto& hold) { return hold.second <= now; });
    return held;
}

auto serving_state::may_send(const core::upstream_id& id,
                             core::time_point now) const -> bool
{
    const auto hold = this->hold_offs.find(id);
    return this->is_usable(id) &&
           (hold == this->hold_offs.end() || hold->second <= now);
}

auto serving_state::set_evacuated(std::set<core::zone_name> zones) -> bool
{
    if (zones == this->evacuated_zones) {
        return false;
    }
    this->evacuated_zones = std::move(zones);
    this->cached_counts.reset();
    return true;
}

auto serving_state::config() const
    -> const std::shared_ptr<const serving::configuration>&
{
    return this->current;
}

auto serving_state::find_service(const serving::service_name& name) const
    -> const serving::service*
{
    return this->current ? this->current->find_service(name) : nullptr;
}

auto serving_state::upstreams() const
    -> const std::map<core::upstream_id, known_upstream>&
{
    return this->known;
}

auto serving_state::evacuated() const -> const std::set<core::zone_name>&
{
    return this->evacuated_zones;
}

auto serving_state::is_usable(const known_upstream& entry) const -> bool
{
    return !entry.upstream.is_draining &&
           !this->announcements.contains(entry.upstream.id) &&
           !this->evacuated_zones.contains(entry.upstream.zone);
}

auto serving_state::is_usable(const core::upstream_id& id) const -> bool
{
    const auto found = this->known.find(id);
    return found != this->known.end() && this->is_usable(found->second);
}

auto serving_state::with_limit(known_upstream entry) const -> known_upstream
{
    const auto limit = this->stated_limits.find(entry.upstream.id);
    if (limit != this->stated_limits.end()) {
        entry.request_limit = limit->second.per_second;
    }
    return entry;
}

auto serving_state::usable(const serving::service_name& service) const
    -> std::vector<known_upstream>
{
    auto usable = std::vector<known_upstream>();
    for (const auto& [id, entry] : this->known) {
        if (entry.upstream.service == service && this->is_usable(entry)) {
            usable.push_back(this->with_limit(entry));
        }
    }
    return usable;
}

auto serving_state::usable(const shard& part) const
    -> std::vector<known_upstream>
{
    auto usable = std::vector<known_upstream>();
    for (const auto& [id, entry] : this->known) {
        if (entry.upstream.service == part.service &&
            part.covers(entry.upstream.zone) && this->is_usable(entry)) {
            usable.push_back(this->with_limit(entry));
        }
    }
    return usable;
}

auto serving_state::counts() const -> const upstream_counts&
{
    if (!this->cached_counts) {
        auto& made = this->cached_counts.emplace();
        for (const auto& [id, entry] : this->known) {
            const auto& upstream = entry.upstream;
            ++made.registered[upstream.service];
            made.zones[upstream.service].insert(upstream.zone);
            made.by_address[upstream.address] = upstream.zone;
            if (this->is_usable(entry)) {
                ++made.usable[upstream.service][upstream.zone];
            }
        }
    }
    return *this->cached_counts;
}

auto serving_state::usable_zones(const serving::service_name& service) const
    -> const std::map<core::zone_name, std::size_t>&
{
    static const auto none = std::map<core::zone_name, std::size_t>();
    const auto& usable = this->counts().usable;
    const auto found = usable.find(service);
    return found == usable.end() ? none : found->second;
}

auto serving_state::shard_for(const serving::service_name& service,
                              const core::zone_name& zone) const -> shard
{
    const auto& registered_counts = this->counts().registered;
    const auto found = registered_counts.find(service);
    const auto is_large = found != registered_counts.end() &&
                          found->second >= min_upstreams_to_shard;
    return {service, is_large ? zone : core::zone_name()};
}

auto serving_state::shards_of(const serving::service_name& service) const
    -> std::vector<shard>
{
    auto shards = std::vector<shard>();
    const auto& zones = this->counts().zones;
    const auto found = zones.find(service);
    if (found != zones.end()) {
        for (const auto& zone : found->second) {
            const auto part = this->shard_for(service, zone);
            if (shards.empty() || shards.back() != part) {
                shards.push_back(part);
            }
        }
    }
    return shards;
}

auto serving_state::zone_at(const core::endpoint& address) const
    -> core::zone_name
{
    const auto& by_address = this->counts().by_address;
    const auto found = by_address.find(address);
    return found == by_address.end() ? core::zone_name() : found->second;
}

} // namespace almondtiller::dispatch
