#include "services/gateway/directory_choice.h"

#include <algorithm>

namespace almondtiller::gateway {

auto choose_fronts(std::vector<front_node> ready,
                   const core::zone_name& caller_zone)
    -> std::vector<core::endpoint>
{
    std::stable_partition(
        ready.begin(), ready.end(),
        [&caller_zone](const auto& node) { return node.zone == caller_zone; });
    auto addresses = std::vector<core::endpoint>();
    for (const auto& node : ready) {
        if (addresses.size() < most_addresses) {
            addresses.push_back(node.front);
        }
    }
    return addresses;
}

} // namespace almondtiller::gateway
