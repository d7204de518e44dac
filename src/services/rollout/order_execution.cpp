#include "services/rollout/order_execution.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace almondtiller::rollout {

namespace {

auto is_trial(phase current) -> bool
{
    return current == phase::observing || current == phase::loaded;
}

/// Orders upstreams so that each prefix is spread over the zones.
auto spread_over_zones(const std::vector<dispatch::known_upstream>& upstreams)
    -> std::vector<core::upstream_id>
{
    auto by_zone = std::map<core::zone_name, std::vector<core::upstream_id>>();
    auto longest = std::size_t(0);
    for (const auto& known : upstreams) {
        auto& zone = by_zone[known.upstream.zone];
        zone.push_back(known.upstream.id);
        longest = std::max(longest, zone.size());
    }
    auto spread = std::vector<core::upstream_id>();
    for (auto at = std::size_t(0); at < longest; ++at) {
        for (auto& [zone, ids] : by_zone) {
            std::sort(ids.begin(), ids.end());
            if (at < ids.size()) {
                spread.push_back(ids[at]);
            }
        }
    }
    return spread;
}

} // namespace

order_execution::order_execution(rollout::order carried_out,
                                 core::duration lenient, core::time_point now)
    : order(std::move(carried_out)),
      lenient_time(lenient),
      gate(this->order, now)
{}

auto order_execution::apply(const directive& newer, std::uint32_t placers,
                            core::time_point now) -> bool
{
    const auto before = this->gate.in_force();
    this->gate.apply(newer, placers, now);
    const auto& current = this->gate.in_force();
    if (current == before) {
        return false;
    }
    if (current.phase == phase::promoting && before.phase != phase::promoting) {
        this->promoted_at = now;
    }
    return true;
}

auto order_execution::end(order_state state, core::time_point now) -> void
{
    auto final_directive = directive();
    final_directive.number = std::numeric_limits<std::uint64_t>::max();
    final_directive.phase =
        state == order_state::completed ? phase::completed : phase::rolled_back;
    this->gate = version_gate(this->order, now);
    this->gate.apply(final_directive, 1, now);
}

auto order_execution::on_coordinator_silent() -> void
{
    this->gate.on_coordinator_silent();
}

auto order_execution::on_bad_answer() -> void
{
    this->gate.on_bad_answer();
}

auto order_execution::refresh(const dispatch::serving_state& serving_state,
                              const std::set<std::string>& rejected) -> void
{
    auto rejected_now = std::make_shared<id_set>();
    auto ids = std::make_shared<id_set>();
    this->has_old = false;
    for (const auto& [id, known] : serving_state.upstreams()) {
        if (known.upstream.service != this->order.service) {
            continue;
        }
        if (known.upstream.version == this->order.to) {
            ids->insert(id);
        } else if (rejected.contains(known.upstream.version)) {
            rejected_now->insert(id);
        } else {
            this->has_old = true;
        }
    }
    this->new_ids = std::move(ids);
    this->rejected_ids = std::move(rejected_now);
    this->choose_trial(serving_state.usable(this->order.service));
}

auto order_execution::choose_trial(
    const std::vector<dispatch::known_upstream>& usable) -> void
{
    auto candidates = std::vector<dispatch::known_upstream>();
    for (const auto& known : usable) {
        if (this->is_new(known.upstream.id)) {
            candidates.push_back(known);
        }
    }
    this->has_usable_new = !candidates.empty();
    auto spread = spread_over_zones(candidates);
    spread.resize(
        std::min(spread.size(), std::size_t(this->gate.in_force().upstreams)));
    this->trial_ids = std::make_shared<id_set>(spread.begin(), spread.end());
}

auto order_execution::old_rule() const -> dispatch::upstream_rule
{
    return [ids = this->new_ids,
            rejected = this->rejected_ids](const core::upstream_id& id) {
        return !ids->contains(id) && !rejected->contains(id);
    };
}

auto order_execution::rules(core::time_point now)
    -> std::vector<dispatch::upstream_rule>
{
    if (this->is_only_version() ||
        (this->gate.in_force().phase == phase::completed &&
         !this->has_usable_new)) {
        return {[rejected = this->rejected_ids](const core::upstream_id& id) {
            return !rejected->contains(id);
        }};
    }
    if (this->gate.choose(now) != version_choice::only_new) {
        return {this->old_rule()};
    }
    if (is_trial(this->gate.in_force().phase)) {
        return {[ids = this->trial_ids](const core::upstream_id& id) {
                    return ids->contains(id);
                },
                this->old_rule()};
    }
    return {[ids = this->new_ids](const core::upstream_id& id) {
        return ids->contains(id);
    }};
}

auto order_execution::record_given(const core::upstream_id& upstream,
                                   core::time_point now) -> void
{
    this->gate.record_sent(this->is_new(upstream), now);
}

auto order_execution::may_send(const core::upstream_id& upstream,
                               core::time_point now) const -> bool
{
    if (this->rejected_ids->contains(upstream)) {
        return false;
    }
    const auto sends_to_new = this->is_new(upstream);
    if (this->gate.may_send(sends_to_new) || this->is_only_version()) {
        return true;
    }
    if (sends_to_new) {
        return false;
    }
    return this->is_lenient(now) ||
           (this->gate.in_force().phase == phase::completed &&
            !this->has_usable_new);
}

auto order_execution::is_in_use(const core::upstream_id& upstream) const -> bool
{
    return this->is_promoted() == this->is_new(upstream);
}

auto order_execution::is_only_version() const -> bool
{
    return !this->has_old && is_trial(this->gate.in_force().phase);
}

auto order_execution::is_promoted() const -> bool
{
    if (this->is_only_version()) {
        return true;
    }
    const auto current = this->gate.in_force().phase;
    return (current == phase::promoting && this->gate.may_send(true)) ||
           (current == phase::completed && this->has_usable_new);
}

auto order_execution::is_lenient(core::time_point now) const -> bool
{
    return this->gate.in_force().phase == phase::promoting &&
           now - this->promoted_at < this->lenient_time;
}

auto order_execution::is_new(const core::upstream_id& upstream) const -> bool
{
    return this->new_ids->contains(upstream);
}

auto order_execution::in_force() const -> const directive&
{
    return this->gate.in_force();
}

auto order_execution::carried_out() const -> const rollout::order&
{
    return this->order;
}

} // namespace almondtiller::rollout
