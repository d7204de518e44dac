#include "routing/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace almondtiller::routing {

auto placement_hash(std::string_view name) -> std::uint64_t
{
    return XXH3_64bits(name.data(), name.size());
}

auto rendezvous_weight(std::uint64_t key, std::uint64_t candidate)
    -> std::uint64_t
{
    return XXH3_64bits_withSeed(&candidate, sizeof candidate, key);
}

} // namespace almondtiller::routing
