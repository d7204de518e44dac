#include "dispatch/outage_retry.h"

#include <algorithm>

namespace almondtiller::dispatch {

namespace {

/// Largest share of the time until its deadline that a caller waits.
constexpr auto longest_share = 1.0 / 3.0;
/// Share of the longest wait over which the retries are spread.
constexpr auto spread_share = 0.3;
/// A starting node that reaches the store accepts requests after this time.
constexpr auto start_time = core::milliseconds(100);

} // namespace

auto outage_retry(core::duration left, bool is_outage, double spread)
    -> core::milliseconds
{
    const auto longest = std::chrono::duration_cast<core::milliseconds>(
        left * longest_share * (1.0 - spread_share * spread));
    return is_outage ? longest : std::min(longest, start_time);
}

} // namespace almondtiller::dispatch
