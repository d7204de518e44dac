#pragma once

#include <cstdint>
#include <string_view>

namespace almondtiller::routing {

/// \return The hash of a name for rendezvous_weight(); equal on every node.
[[nodiscard]] auto placement_hash(std::string_view name) -> std::uint64_t;

/// Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
/// \return The weight of a candidate for a key; the candidate with the largest
///         weight owns the key.
[[nodiscard]] auto rendezvous_weight(std::uint64_t key, std::uint64_t candidate)
    -> std::uint64_t;

} // namespace almondtiller::routing
