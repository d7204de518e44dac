#include "fleet/endpoint_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace almondtiller::fleet {

namespace {

auto shuffle(std::vector<member>& members, core::random_source& random) -> void
{
    for (auto left = members.size(); left > 1; --left) {
        std::swap(members[left - 1], members[random.below(left)]);
    }
}

} // namespace

auto choose_endpoints(const std::vector<member>& members,
                      const settings::snapshot& config,
                      const core::zone_name& caller_zone,
                      core::random_source& random) -> std::vector<member>
{
    auto chosen = members;
    std::erase_if(chosen, [](const member& candidate) {
        return candidate.state != member_state::alive;
    });
    const auto is_in = [&config](const member& candidate) {
        return config.is_zone_in(candidate.zone);
    };
    if (std::any_of(chosen.begin(), chosen.end(), is_in)) {
        std::erase_if(chosen, std::not_fn(is_in));
    }
    shuffle(chosen, random);
    std::stable_partition(chosen.begin(), chosen.end(),
                          [&caller_zone](const member& candidate) {
                              return candidate.zone == caller_zone;
                          });
    if (chosen.size() > max_endpoints) {
        chosen.resize(max_endpoints);
    }
    return chosen;
}

} // namespace almondtiller::fleet
