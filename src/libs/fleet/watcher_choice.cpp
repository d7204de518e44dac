#include "fleet/watcher_choice.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace almondtiller::fleet {

namespace {

auto weight(const member& candidate) -> std::uint64_t
{
    const auto text = candidate.zone.str() + "/" + candidate.id.str();
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

auto choose_watchers(const std::vector<member>& members,
                     const core::zone_name& zone, std::size_t count)
    -> std::vector<member>
{
    auto chosen = members;
    std::erase_if(chosen, [&zone](const member& candidate) {
        return candidate.zone != zone || candidate.state != member_state::alive;
    });
    std::sort(chosen.begin(), chosen.end(),
              [](const member& left, const member& right) {
                  return weight(left) > weight(right);
              });
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

} // namespace almondtiller::fleet
