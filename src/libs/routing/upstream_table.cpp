#include "routing/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondtiller::routing {

namespace {

/// Time after which a load report has half of its weight.
constexpr auto report_half_life = core::duration(std::chrono::seconds(1));
constexpr auto max_report_age = core::duration(std::chrono::seconds(10));
/// Maximum age of the cached totals of the pool.
constexpr auto totals_lifetime = core::duration(std::chrono::milliseconds(5));

auto limits_of(const settings::pool_settings& settings)
    -> upstream_temperature::limits
{
    return {settings.cold_capacity, settings.warm_completions,
            settings.silence_until_cold};
}

auto smallest_limit(const settings::pool_settings& settings) -> std::uint32_t
{
    return std::max(settings.min_concurrency, 1U);
}

auto largest_limit(const settings::pool_settings& settings) -> std::uint32_t
{
    return std::max(settings.max_concurrency, smallest_limit(settings));
}

auto is_failure(attempt_end end) -> bool
{
    return end == attempt_end::failed || end == attempt_end::not_sent ||
           end == attempt_end::timed_out || end == attempt_end::mismatched;
}

} // namespace

upstream_table::upstream_entry::upstream_entry(
    upstream_member member, const settings::pool_settings& settings)
    : member(std::move(member)),
      limit(smallest_limit(settings), largest_limit(settings)),
      temperature(limits_of(settings))
{}

upstream_table::upstream_table(settings::pool_settings settings,
                               core::zone_name local_zone, std::uint64_t seed)
    : settings(std::move(settings)),
      local_zone(std::move(local_zone)),
      random(seed)
{}

auto upstream_table::configure(settings::pool_settings settings) -> void
{
    this->settings = std::move(settings);
    for (auto& [id, entry] : this->entries) {
        entry->limit.set_bounds(smallest_limit(this->settings),
                                largest_limit(this->settings));
        entry->temperature.set_limits(limits_of(this->settings));
    }
    this->is_stale = true;
}

auto upstream_table::set_members(const std::vector<upstream_member>& members)
    -> void
{
    for (auto& [id, entry] : this->entries) {
        entry->member.accepts_work = false;
        entry->is_listed = false;
    }
    this->active.clear();
    auto candidates = std::vector<upstream_picker::member>();
    for (const auto& member : members) {
        auto& stored = this->entries[member.id];
        if (stored == nullptr) {
            stored = std::make_unique<upstream_entry>(member, this->settings);
        }
        stored->member = member;
        stored->is_listed = true;
        if (member.accepts_work) {
            this->active.push_back(stored.get());
            candidates.push_back({member.id, member.zone == this->local_zone});
        }
    }
    this->picker.set_members(std::move(candidates));
    std::erase_if(this->entries, [](const auto& known) {
        return known.second->in_flight == 0 && !known.second->is_listed;
    });
    this->is_stale = true;
}

auto upstream_table::find(const core::upstream_id& id) -> upstream_entry*
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : found->second.get();
}

auto upstream_table::granted_slots(const upstream_entry& entry,
                                   core::time_point now) const -> std::uint32_t
{
    const auto& current = entry.temperature.incarnation();
    const auto is_other_process = !entry.grant.incarnation.empty() &&
                                  !current.empty() &&
                                  entry.grant.incarnation != current;
    if (now >= entry.grant.expires || is_other_process) {
        return 0;
    }
    return std::min(entry.grant.slots, this->settings.cold_capacity);
}

auto upstream_table::allowed_in_flight(const upstream_entry& entry,
                                       core::time_point now) const
    -> std::uint32_t
{
    if (entry.temperature.is_cold(now)) {
        return this->granted_slots(entry, now);
    }
    return std::min(entry.limit.value(), entry.temperature.ramp());
}

auto upstream_table::utilisation(const upstream_entry& entry,
                                 core::time_point now) const
    -> std::optional<double>
{
    const auto allowed = this->allowed_in_flight(entry, now);
    if (entry.in_flight >= allowed ||
        !entry.outlier.admits(entry.in_flight, now)) {
        return std::nullopt;
    }
    const auto own = double(entry.in_flight) / double(allowed);
    if (entry.others_in_flight <= 0.0 ||
        now - max_report_age > entry.reported_at) {
        return own;
    }
    const auto age = std::chrono::duration<double>(now - entry.reported_at);
    const auto weight =
        std::exp2(-age / std::chrono::duration<double>(report_half_life));
    const auto shared = std::max(entry.reported_capacity, double(allowed));
    return own + weight * entry.others_in_flight / shared;
}

auto upstream_table::choose(const attempt_request& item,
                            core::duration typical_latency,
                            core::time_point now) -> std::optional<dispatch>
{
    const auto& sums = this->summary(now);
    auto conditions = upstream_picker::conditions();
    conditions.utilisation = [this, now](std::uint32_t index) {
        return this->utilisation(*this->active[index], now);
    };
    conditions.is_serviceable = [this, now](std::uint32_t index) {
        const auto& entry = *this->active[index];
        return !entry.outlier.is_ejected() &&
               this->allowed_in_flight(entry, now) > 0;
    };
    const auto is_known = typical_latency > core::duration::zero();
    conditions.spill_threshold =
        is_known ? std::chrono::duration<double>(this->settings.spill_cost) /
                       std::chrono::duration<double>(typical_latency)
                 : 0.0;
    conditions.mean_utilisation =
        sums.capacity > 0.0 ? double(sums.in_flight) / sums.capacity : 0.0;
    const auto index = this->picker.pick(item, conditions, this->random);
    if (!index.has_value()) {
        return std::nullopt;
    }
    const auto& chosen = *this->active[*index];
    const auto cold = chosen.temperature.is_cold(now);
    const auto longest = now + longest_cold_dispatch;
    const auto finish_by =
        cold ? std::min(item.deadline, longest) : item.deadline;
    return dispatch{item.id, chosen.member.id, cold, finish_by};
}

auto upstream_table::on_dispatch(const core::upstream_id& id) -> void
{
    if (auto* entry = this->find(id)) {
        ++entry->in_flight;
        ++this->cached_totals.in_flight;
    }
}

auto upstream_table::on_finish(const attempt_result& result,
                               core::duration median, core::time_point now)
    -> void
{
    auto* entry = this->find(result.upstream);
    if (entry == nullptr) {
        return;
    }
    const auto was_cold = entry->temperature.is_cold(now);
    const auto before = entry->temperature.incarnation();
    entry->temperature.observe(result, now);
    this->record_temperature_change(*entry, was_cold, now);
    if (!before.empty() && entry->temperature.incarnation() != before) {
        this->reset_after_restart(*entry);
    } else {
        this->update_health(*entry, result, median, now);
    }
    entry->in_flight -= entry->in_flight > 0 ? 1 : 0;
    this->cached_totals.in_flight -= this->cached_totals.in_flight > 0 ? 1 : 0;
}

auto upstream_table::update_health(upstream_entry& updated,
                                   const attempt_result& result,
                                   core::duration median, core::time_point now)
    -> void
{
    auto should_eject = false;
    if (result.end == attempt_end::succeeded) {
        const auto cold = updated.temperature.is_cold(now);
        should_eject = updated.outlier.on_success(
            result.latency, cold ? core::duration::zero() : median, now);
        if (!cold) {
            updated.limit.on_success(result.latency, updated.in_flight, now);
        }
    } else if (is_failure(result.end)) {
        should_eject = updated.outlier.on_failure(now);
    }
    if (result.end == attempt_end::refused ||
        result.end == attempt_end::timed_out) {
        updated.limit.on_overload(now);
    }
    if (should_eject && (updated.outlier.is_ejected() || this->may_eject())) {
        updated.outlier.eject(now);
        this->is_stale = true;
    }
}

auto upstream_table::may_eject() const -> bool
{
    const auto ejected =
        std::ranges::count_if(this->active, [](const auto* entry) {
            return entry->outlier.is_ejected();
        });
    return double(ejected + 1) <=
           this->settings.max_ejected_share * double(this->active.size());
}

auto upstream_table::reset_after_restart(upstream_entry& restarted) -> void
{
    restarted.outlier.reset();
    restarted.limit = concurrency_limit(smallest_limit(this->settings),
                                        largest_limit(this->settings));
    this->is_stale = true;
}

auto upstream_table::on_report(const load_report& report, core::time_point now)
    -> void
{
    auto* entry = this->find(report.id);
    if (entry == nullptr) {
        return;
    }
    const auto was_cold = entry->temperature.is_cold(now);
    const auto before = entry->temperature.incarnation();
    entry->temperature.observe(report, now);
    this->record_temperature_change(*entry, was_cold, now);
    if (!before.empty() && entry->temperature.incarnation() != before) {
        this->reset_after_restart(*entry);
    }
    const auto own = double(entry->in_flight);
    entry->others_in_flight =
        std::max(double(report.in_flight) + double(report.queued) - own, 0.0);
    entry->reported_capacity = double(report.capacity);
    entry->reported_at = std::max(entry->reported_at, now - report.age);
}

auto upstream_table::record_temperature_change(const upstream_entry& changed,
                                               bool was_cold,
                                               core::time_point now) -> void
{
    const auto is_cold = changed.temperature.is_cold(now);
    this->is_stale = this->is_stale || was_cold != is_cold;
    if (is_cold && !was_cold) {
        this->notifications.push_back({changed.member.id,
                                       changed.temperature.incarnation(),
                                       changed.temperature.reason(now)});
    }
}

auto upstream_table::apply_notification(const cold_notification& notification,
                                        core::time_point now) -> void
{
    auto* entry = this->find(notification.id);
    if (entry == nullptr) {
        return;
    }
    const auto before = entry->temperature.incarnation();
    entry->temperature.observe(notification, now);
    if (!before.empty() && entry->temperature.incarnation() != before) {
        this->reset_after_restart(*entry);
    }
    this->is_stale = true;
}

auto upstream_table::take_notifications() -> std::vector<cold_notification>
{
    return std::exchange(this->notifications, {});
}

auto upstream_table::on_cache_hint(const cache_hint& hint) -> void
{
    this->picker.apply_hint(hint);
}

auto upstream_table::on_grant(const cold_grant& grant) -> void
{
    if (auto* entry = this->find(grant.id)) {
        entry->grant = grant;
        entry->denied_until = core::time_point::min();
        this->is_stale = true;
    }
}

auto upstream_table::on_denial(const core::upstream_id& id,
                               core::time_point until) -> void
{
    if (auto* entry = this->find(id)) {
        entry->denied_until = until;
        this->is_stale = true;
    }
}

auto upstream_table::summary(core::time_point now) const -> const totals&
{
    if (this->is_stale || now - totals_lifetime >= this->cached_at) {
        this->cached_totals = this->summarize(now);
        this->cached_at = now;
        this->is_stale = false;
    }
    return this->cached_totals;
}

auto upstream_table::summarize(core::time_point now) const -> totals
{
    auto sums = totals();
    for (const auto* entry : this->active) {
        ++sums.accepting;
        sums.in_flight += entry->in_flight;
        const auto cold = entry->temperature.is_cold(now);
        if (!entry->outlier.is_ejected()) {
            sums.capacity += this->allowed_in_flight(*entry, now);
            sums.warm += cold ? 0 : 1;
        }
        if (cold) {
            sums.cold_slots += this->granted_slots(*entry, now);
            const auto next = std::max(entry->denied_until, now);
            sums.next_cold_slot =
                std::min(sums.next_cold_slot.value_or(next), next);
        }
    }
    return sums;
}

auto upstream_table::cold_upstreams(std::uint32_t wanted,
                                    core::time_point now) const
    -> std::vector<cold_upstream>
{
    auto cold = std::vector<cold_upstream>();
    for (const auto* entry : this->active) {
        if (entry->temperature.is_cold(now)) {
            const auto slots = entry->outlier.admits(0, now) ? wanted : 0;
            cold.push_back({entry->member.id, entry->temperature.incarnation(),
                            std::min(slots, this->settings.cold_capacity),
                            entry->in_flight});
        }
    }
    return cold;
}

auto upstream_table::status(core::time_point now) const
    -> std::vector<upstream_status>
{
    auto rows = std::vector<upstream_status>();
    for (const auto* entry : this->active) {
        rows.push_back({entry->member.id, entry->member.zone,
                        entry->temperature.is_cold(now),
                        entry->outlier.is_ejected(), entry->in_flight,
                        this->allowed_in_flight(*entry, now)});
    }
    return rows;
}

auto upstream_table::next_probe() const -> std::optional<core::time_point>
{
    auto next = std::optional<core::time_point>();
    for (const auto* entry : this->active) {
        if (entry->outlier.is_ejected()) {
            const auto until = entry->outlier.ejected_until();
            next = std::min(next.value_or(until), until);
        }
    }
    return next;
}

} // namespace almondtiller::routing
