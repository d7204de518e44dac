#include "services/gateway/owner_choice.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <set>

namespace almondtiller::gateway {

namespace {

/// Share of the largest machine's capacity that an owner must have.
constexpr auto min_owner_share = 0.5;
/// Enough that some remain after the loss of a zone, and few enough that they
/// put little load on the store.
constexpr auto max_watchers = std::size_t(8);
/// Two, so that a node misses no change when one source is lost.
constexpr auto sources_per_node = std::size_t(2);

} // namespace

auto choose_owners(const std::vector<owner_candidate>& live)
    -> std::vector<owner_candidate>
{
    auto largest = node_capacity{0, 0};
    for (const auto& candidate : live) {
        largest.cores = std::max(largest.cores, candidate.capacity.cores);
        largest.link_mbps =
            std::max(largest.link_mbps, candidate.capacity.link_mbps);
    }
    auto owners = std::vector<owner_candidate>();
    for (const auto& candidate : live) {
        const auto& capacity = candidate.capacity;
        if (capacity.cores >= min_owner_share * largest.cores &&
            capacity.link_mbps >= min_owner_share * largest.link_mbps) {
            owners.push_back(candidate);
        }
    }
    // It may be that no machine has that share both of the cores and of the
    // bandwidth.
    return owners.empty() ? live : owners;
}

auto choose_watchers(const std::vector<owner_candidate>& owners,
                     std::size_t live_count) -> std::vector<core::node_id>
{
    if (live_count <= max_small_fleet) {
        return {};
    }
    auto by_zone = std::map<core::zone_name, std::set<core::node_id>>();
    for (const auto& owner : owners) {
        by_zone[owner.zone].insert(owner.node);
    }
    auto watchers = std::vector<core::node_id>();
    while (!by_zone.empty() && watchers.size() < max_watchers) {
        for (auto& [zone, nodes] : by_zone) {
            if (!nodes.empty() && watchers.size() < max_watchers) {
                watchers.push_back(*nodes.begin());
                nodes.erase(nodes.begin());
            }
        }
        std::erase_if(by_zone,
                      [](const auto& item) { return item.second.empty(); });
    }
    return watchers;
}

auto choose_sources(const std::vector<core::node_id>& watchers,
                    const core::node_id& self,
                    const std::vector<owner_candidate>& owners,
                    const core::zone_name& zone) -> std::vector<core::node_id>
{
    auto sources = watchers;
    std::erase(sources, self);
    if (sources.size() < watchers.size()) {
        return sources;
    }
    const auto key = routing::placement_hash(self.str());
    const auto rank = [&](const core::node_id& node) {
        const auto is_remote =
            std::none_of(owners.begin(), owners.end(), [&](const auto& owner) {
                return owner.node == node && owner.zone == zone;
            });
        return std::pair(is_remote,
                         routing::rendezvous_weight(
                             key, routing::placement_hash(node.str())));
    };
    std::sort(sources.begin(), sources.end(),
              [&rank](const auto& left, const auto& right) {
                  return rank(left) < rank(right);
              });
    sources.resize(std::min(sources.size(), sources_per_node));
    return sources;
}

} // namespace almondtiller::gateway
