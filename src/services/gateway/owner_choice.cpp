#include "services/gateway/owner_choice.h"

#include <algorithm>

namespace almondtiller::gateway {

namespace {

/// Share of the largest machine's capacity that an owner must have.
constexpr auto least_share = 0.5;
/// Up to that many nodes each watch the store.
constexpr auto small_fleet = std::size_t(16);
/// Enough that a zone's loss leaves some, few enough to be cheap.
constexpr auto most_watchers = std::size_t(8);

} // namespace

auto choose_owners(const std::vector<owner_candidate>& live)
    -> std::vector<core::node_id>
{
    auto most = node_capacity{0, 0};
    for (const auto& candidate : live) {
        most.cores = std::max(most.cores, candidate.capacity.cores);
        most.link_mbps = std::max(most.link_mbps, candidate.capacity.link_mbps);
    }
    auto owners = std::vector<core::node_id>();
    auto all = std::vector<core::node_id>();
    for (const auto& candidate : live) {
        all.push_back(candidate.node);
        const auto& capacity = candidate.capacity;
        if (capacity.cores >= least_share * most.cores &&
            capacity.link_mbps >= least_share * most.link_mbps) {
            owners.push_back(candidate.node);
        }
    }
    // Machines may be large in different ways.
    return owners.empty() ? all : owners;
}

auto choose_watchers(const std::vector<core::node_id>& owners, std::size_t live)
    -> std::vector<core::node_id>
{
    if (live <= small_fleet) {
        return {};
    }
    auto watchers = owners;
    std::sort(watchers.begin(), watchers.end());
    if (watchers.size() > most_watchers) {
        watchers.resize(most_watchers);
    }
    return watchers;
}

} // namespace almondtiller::gateway
