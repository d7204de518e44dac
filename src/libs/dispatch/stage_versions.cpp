#include "dispatch/stage_queue.h"

#include <algorithm>
#include <utility>

namespace almondtiller::dispatch {

auto stage_queue::set_version_rules(version_rules rules) -> void
{
    this->versions = std::move(rules);
}

auto stage_queue::next_call(core::time_point now) -> std::optional<stage_call>
{
    auto idle = this->idle_upstreams(now);
    auto rules = this->versions.next ? this->versions.next(now)
                                     : std::vector<upstream_rule>();
    if (rules.empty()) {
        rules.emplace_back([](const auto&) { return true; });
    }
    for (const auto& rule : rules) {
        auto admitted = std::vector<upstream_state*>();
        std::copy_if(
            idle.begin(), idle.end(), std::back_inserter(admitted),
            [&rule](const auto* state) { return rule(state->upstream.id); });
        if (auto call = this->fill_any(std::move(admitted), now)) {
            if (this->versions.on_given) {
                this->versions.on_given(call->upstream.id, now);
            }
            return call;
        }
    }
    return std::nullopt;
}

auto stage_queue::held_results(const upstream_rule& rule,
                               core::time_point now) const -> std::size_t
{
    auto total = std::size_t(0);
    for (const auto& [id, state] : this->upstreams) {
        if (rule(id)) {
            total += std::size_t(std::count_if(
                state.results.begin(), state.results.end(),
                [now](const auto& item) { return item.second.expires > now; }));
        }
    }
    return total;
}

} // namespace almondtiller::dispatch
