#include "routing/backoff.h"

#include <algorithm>

namespace almondtiller::routing {

auto retry_delay(const backoff_settings& settings, std::uint32_t retries,
                 core::duration remaining, core::duration needed,
                 core::random_source& random) -> std::optional<core::duration>
{
    constexpr auto max_shift = 20U;
    if (remaining <= needed) {
        return std::nullopt;
    }
    const auto shift = std::min(retries, max_shift);
    const auto bound = std::min({settings.initial * (std::int64_t(1) << shift),
                                 settings.max_delay, remaining - needed});
    const auto jittered = double(bound.count()) * random.unit();
    return core::duration(core::duration::rep(jittered));
}

} // namespace almondtiller::routing
