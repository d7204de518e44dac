#include "routing/cold_slots.h"

#include "routing/rendezvous.h"

namespace almondtiller::routing {

auto coordinator_of(const core::upstream_id& id,
                    const std::vector<core::node_id>& members) -> core::node_id
{
    const auto key = placement_hash(id.str());
    auto best = core::node_id();
    auto best_weight = std::uint64_t(0);
    for (const auto& member : members) {
        const auto weight =
            rendezvous_weight(key, placement_hash(member.str()));
        if (best.empty() || weight > best_weight) {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace almondtiller::routing
