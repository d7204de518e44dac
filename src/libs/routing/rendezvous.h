#pragma once

#include <cstdint>
#include <string_view>

namespace almondtiller::routing {

/// \return The hash by which a name is placed; the same on every node.
[[nodiscard]] auto placement_hash(std::string_view name) -> std::uint64_t;

/// Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998:
/// the candidate with the largest weight for a key owns it.
[[nodiscard]] auto rendezvous_weight(std::uint64_t key, std::uint64_t candidate)
    -> std::uint64_t;

} // namespace almondtiller::routing
