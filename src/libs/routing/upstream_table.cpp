#include "routing/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondtiller::routing {

namespace {

/// Time after which a load report has half of its weight.
constexpr auto report_half_life = core::duration(std::chrono::seconds(1));
constexpr auto oldest_report = core::duration(std::chrono::seconds(10));
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

upstream_table::entry::entry(upstream_member member,
                             const settings::pool_settings& settings)
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
    for (auto& [id, of] : this->entries) {
        of->limit.set_bounds(smallest_limit(this->settings),
                             largest_limit(this->settings));
        of->temperature.set_limits(limits_of(this->settings));
    }
    this->stale = true;
}

auto upstream_table::set_members(const std::vector<upstream_member>& members)
    -> void
{
    for (auto& [id, of] : this->entries) {
        of->member.accepts_work = false;
        of->is_listed = false;
    }
    this->active.clear();
    auto placed = std::vector<upstream_picker::member>();
    for (const auto& member : members) {
        auto& slot = this->entries[member.id];
        if (slot == nullptr) {
            slot = std::make_unique<entry>(member, this->settings);
        }
        slot->member = member;
        slot->is_listed = true;
        if (member.accepts_work) {
            this->active.push_back(slot.get());
            placed.push_back({member.id, member.zone == this->local_zone});
        }
    }
    this->picker.set_members(std::move(placed));
    std::erase_if(this->entries, [](const auto& known) {
        return known.second->in_flight == 0 && !known.second->is_listed;
    });
    this->stale = true;
}

auto upstream_table::find(const core::upstream_id& id) -> entry*
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : found->second.get();
}

auto upstream_table::slots(const entry& of, core::time_point now) const
    -> std::uint32_t
{
    const auto& known = of.temperature.incarnation();
    const auto is_other_process = !of.grant.incarnation.empty() &&
                                  !known.empty() &&
                                  of.grant.incarnation != known;
    if (now >= of.grant.expires || is_other_process) {
        return 0;
    }
    return std::min(of.grant.slots, this->settings.cold_capacity);
}

auto upstream_table::allowed(const entry& of, core::time_point now) const
    -> std::uint32_t
{
    if (of.temperature.is_cold(now)) {
        return this->slots(of, now);
    }
    return std::min(of.limit.value(), of.temperature.ramp());
}

auto upstream_table::utilisation(const entry& of, core::time_point now) const
    -> std::optional<double>
{
    const auto room = this->allowed(of, now);
    if (of.in_flight >= room || !of.outlier.admits(of.in_flight, now)) {
        return std::nullopt;
    }
    const auto own = double(of.in_flight) / double(room);
    if (of.others <= 0.0 || now - oldest_report > of.sampled) {
        return own;
    }
    const auto age = std::chrono::duration<double>(now - of.sampled);
    const auto weight =
        std::exp2(-age / std::chrono::duration<double>(report_half_life));
    const auto shared = std::max(of.reported_capacity, double(room));
    return own + weight * of.others / shared;
}

auto upstream_table::choose(const work& wanted, core::duration typical,
                            core::time_point now) -> std::optional<dispatch>
{
    const auto& all = this->summary(now);
    auto conditions = upstream_picker::conditions();
    conditions.utilisation = [this, now](std::uint32_t index) {
        return this->utilisation(*this->active[index], now);
    };
    conditions.is_serviceable = [this, now](std::uint32_t index) {
        const auto& of = *this->active[index];
        return !of.outlier.is_ejected() && this->allowed(of, now) > 0;
    };
    const auto is_known = typical > core::duration::zero();
    conditions.spill_threshold =
        is_known ? std::chrono::duration<double>(this->settings.spill_cost) /
                       std::chrono::duration<double>(typical)
                 : 0.0;
    conditions.mean_utilisation =
        all.capacity > 0.0 ? double(all.in_flight) / all.capacity : 0.0;
    const auto index = this->picker.pick(wanted, conditions, this->random);
    if (!index.has_value()) {
        return std::nullopt;
    }
    const auto& chosen = *this->active[*index];
    const auto cold = chosen.temperature.is_cold(now);
    const auto longest = now + longest_cold_dispatch;
    const auto finish_by =
        cold ? std::min(wanted.deadline, longest) : wanted.deadline;
    return dispatch{wanted.id, chosen.member.id, cold, finish_by};
}

auto upstream_table::on_dispatch(const core::upstream_id& id) -> void
{
    if (auto* of = this->find(id)) {
        ++of->in_flight;
        ++this->cached.in_flight;
    }
}

auto upstream_table::on_finish(const attempt_result& result,
                               core::duration median, core::time_point now)
    -> void
{
    auto* of = this->find(result.upstream);
    if (of == nullptr) {
        return;
    }
    const auto was_cold = of->temperature.is_cold(now);
    const auto before = of->temperature.incarnation();
    of->temperature.observe(result, now);
    this->note_change(*of, was_cold, now);
    if (!before.empty() && of->temperature.incarnation() != before) {
        this->forget_incarnation(*of);
    } else {
        this->judge(*of, result, median, now);
    }
    of->in_flight -= of->in_flight > 0 ? 1 : 0;
    this->cached.in_flight -= this->cached.in_flight > 0 ? 1 : 0;
}

auto upstream_table::judge(entry& judged, const attempt_result& result,
                           core::duration median, core::time_point now) -> void
{
    auto ejects = false;
    if (result.end == attempt_end::succeeded) {
        const auto cold = judged.temperature.is_cold(now);
        ejects = judged.outlier.on_success(
            result.latency, cold ? core::duration::zero() : median, now);
        if (!cold) {
            judged.limit.on_success(result.latency, judged.in_flight, now);
        }
    } else if (is_failure(result.end)) {
        ejects = judged.outlier.on_failure(now);
    }
    if (result.end == attempt_end::refused ||
        result.end == attempt_end::timed_out) {
        judged.limit.on_overload(now);
    }
    if (ejects && (judged.outlier.is_ejected() || this->may_eject())) {
        judged.outlier.eject(now);
        this->stale = true;
    }
}

auto upstream_table::may_eject() const -> bool
{
    const auto ejected = std::ranges::count_if(
        this->active, [](const auto* of) { return of->outlier.is_ejected(); });
    return double(ejected + 1) <=
           this->settings.max_ejected_share * double(this->active.size());
}

auto upstream_table::forget_incarnation(entry& restarted) -> void
{
    restarted.outlier.reset();
    restarted.limit = concurrency_limit(smallest_limit(this->settings),
                                        largest_limit(this->settings));
    this->stale = true;
}

auto upstream_table::on_report(const load_report& report, core::time_point now)
    -> void
{
    auto* of = this->find(report.id);
    if (of == nullptr) {
        return;
    }
    const auto was_cold = of->temperature.is_cold(now);
    const auto before = of->temperature.incarnation();
    of->temperature.observe(report, now);
    this->note_change(*of, was_cold, now);
    if (!before.empty() && of->temperature.incarnation() != before) {
        this->forget_incarnation(*of);
    }
    const auto own = double(of->in_flight);
    of->others =
        std::max(double(report.in_flight) + double(report.queued) - own, 0.0);
    of->reported_capacity = double(report.capacity);
    of->sampled = std::max(of->sampled, now - report.age);
}

auto upstream_table::note_change(const entry& changed, bool was_cold,
                                 core::time_point now) -> void
{
    const auto is_cold = changed.temperature.is_cold(now);
    this->stale = this->stale || was_cold != is_cold;
    if (is_cold && !was_cold) {
        this->signs.push_back({changed.member.id,
                               changed.temperature.incarnation(),
                               changed.temperature.reason(now)});
    }
}

auto upstream_table::on_sign(const cold_sign& sign, core::time_point now)
    -> void
{
    auto* of = this->find(sign.id);
    if (of == nullptr) {
        return;
    }
    const auto before = of->temperature.incarnation();
    of->temperature.observe(sign, now);
    if (!before.empty() && of->temperature.incarnation() != before) {
        this->forget_incarnation(*of);
    }
    this->stale = true;
}

auto upstream_table::take_signs() -> std::vector<cold_sign>
{
    return std::exchange(this->signs, {});
}

auto upstream_table::on_cache_hint(const cache_hint& hint) -> void
{
    this->picker.note(hint);
}

auto upstream_table::on_grant(const cold_grant& grant) -> void
{
    if (auto* of = this->find(grant.id)) {
        of->grant = grant;
        of->denied_until = core::time_point::min();
        this->stale = true;
    }
}

auto upstream_table::on_denial(const core::upstream_id& id,
                               core::time_point until) -> void
{
    if (auto* of = this->find(id)) {
        of->denied_until = until;
        this->stale = true;
    }
}

auto upstream_table::summary(core::time_point now) const -> const totals&
{
    if (this->stale || now - totals_lifetime >= this->cached_at) {
        this->cached = this->summarize(now);
        this->cached_at = now;
        this->stale = false;
    }
    return this->cached;
}

auto upstream_table::summarize(core::time_point now) const -> totals
{
    auto all = totals();
    for (const auto* of : this->active) {
        ++all.accepting;
        all.in_flight += of->in_flight;
        const auto cold = of->temperature.is_cold(now);
        if (!of->outlier.is_ejected()) {
            all.capacity += this->allowed(*of, now);
            all.warm += cold ? 0 : 1;
        }
        if (cold) {
            all.cold_slots += this->slots(*of, now);
            const auto next = std::max(of->denied_until, now);
            all.next_cold_slot =
                std::min(all.next_cold_slot.value_or(next), next);
        }
    }
    return all;
}

auto upstream_table::cold_upstreams(std::uint32_t wanted,
                                    core::time_point now) const
    -> std::vector<cold_upstream>
{
    auto cold = std::vector<cold_upstream>();
    for (const auto* of : this->active) {
        if (of->temperature.is_cold(now)) {
            const auto slots = of->outlier.admits(0, now) ? wanted : 0;
            cold.push_back({of->member.id, of->temperature.incarnation(),
                            std::min(slots, this->settings.cold_capacity),
                            of->in_flight});
        }
    }
    return cold;
}

auto upstream_table::status(core::time_point now) const
    -> std::vector<upstream_status>
{
    auto rows = std::vector<upstream_status>();
    for (const auto* of : this->active) {
        rows.push_back({of->member.id, of->member.zone,
                        of->temperature.is_cold(now), of->outlier.is_ejected(),
                        of->in_flight, this->allowed(*of, now)});
    }
    return rows;
}

auto upstream_table::next_probe() const -> std::optional<core::time_point>
{
    auto next = std::optional<core::time_point>();
    for (const auto* of : this->active) {
        if (of->outlier.is_ejected()) {
            const auto until = of->outlier.ejected_until();
            next = std::min(next.value_or(until), until);
        }
    }
    return next;
}

} // namespace almondtiller::routing
