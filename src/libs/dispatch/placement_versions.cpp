#include "dispatch/placement.h"

#include <algorithm>
#include <utility>

namespace almondtiller::dispatch {

auto placement::set_version_rules(version_rules rules) -> void
{
    this->versions = std::move(rules);
}

auto placement::choose_by_version(const std::vector<upstream_state*>& available,
                                  const waiting_request& waiting,
                                  core::time_point now) -> upstream_state*
{
    if (!this->versions.next) {
        return this->choose(available, waiting, now);
    }
    this->current_rules = this->versions.next(now);
    if (this->current_rules.empty()) {
        return this->choose(available, waiting, now);
    }
    for (const auto& rule : this->current_rules) {
        auto admitted = std::vector<upstream_state*>();
        std::copy_if(available.begin(), available.end(),
                     std::back_inserter(admitted), [&rule](const auto* state) {
                         return rule(state->known.upstream.id);
                     });
        if (auto* chosen = this->choose(admitted, waiting, now)) {
            return chosen;
        }
    }
    return nullptr;
}

auto placement::is_admitted(const core::upstream_id& upstream) const -> bool
{
    return this->current_rules.empty() ||
           std::any_of(
               this->current_rules.begin(), this->current_rules.end(),
               [&upstream](const auto& rule) { return rule(upstream); });
}

auto placement::record_version(const upstream_state& state,
                               core::time_point now) -> void
{
    if (this->versions.on_given) {
        this->versions.on_given(state.known.upstream.id, now);
    }
}

} // namespace almondtiller::dispatch
