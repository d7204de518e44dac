#include "services/gateway/directory_choice.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Share of an answer that is kept for nodes of other zones if the caller's
/// zone and the other zones both have more nodes than fit: enough for a caller
/// whose own zone fails.
constexpr auto remote_share = 0.25;

/// Moves \a count randomly chosen elements of a range to its front.
auto sample(std::vector<front_node>& nodes, std::size_t first, std::size_t last,
            std::size_t count, core::random_source& random) -> void
{
    for (auto taken = std::size_t(0); taken < count; ++taken) {
        const auto other = first + taken + random.below(last - first - taken);
        std::swap(nodes[first + taken], nodes[other]);
    }
}

} // namespace

auto choose_fronts(std::vector<front_node> ready,
                   const core::zone_name& caller_zone,
                   core::random_source& random) -> std::vector<core::endpoint>
{
    const auto remote_begin = std::stable_partition(
        ready.begin(), ready.end(),
        [&caller_zone](const auto& node) { return node.zone == caller_zone; });
    auto local = std::size_t(remote_begin - ready.begin());
    auto remote = ready.size() - local;
    if (ready.size() > max_addresses) {
        const auto local_nodes = local;
        const auto min_remote =
            std::min(remote, std::size_t(remote_share * double(max_addresses)));
        local = std::min(local, max_addresses - min_remote);
        remote = std::min(remote, max_addresses - local);
        sample(ready, 0, local_nodes, local, random);
        sample(ready, local_nodes, ready.size(), remote, random);
        std::rotate(ready.begin() + std::ptrdiff_t(local),
                    ready.begin() + std::ptrdiff_t(local_nodes), ready.end());
        ready.resize(local + remote);
    }
    auto addresses = std::vector<core::endpoint>();
    for (const auto& node : ready) {
        addresses.push_back(node.front);
    }
    return addresses;
}

} // namespace almondtiller::gateway
