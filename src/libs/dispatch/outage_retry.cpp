#include "dispatch/outage_retry.h"

#include <algorithm>

namespace almondtiller::dispatch {

namespace {

/// Largest share of the time until its deadline that a caller waits.
constexpr auto max_wait_share = 1.0 / 3.0;
/// Share of the longest wait over which the retries are spread.
constexpr auto jitter_share = 0.3;
/// A starting node that reaches the store accepts requests after this time.
constexpr auto startup_retry = core::milliseconds(100);

} // namespace

auto outage_retry(core::duration time_left, bool is_outage, double jitter)
    -> core::milliseconds
{
    const auto max_wait = std::chrono::duration_cast<core::milliseconds>(
        time_left * max_wait_share * (1.0 - jitter_share * jitter));
    return is_outage ? max_wait : std::min(max_wait, startup_retry);
}

} // namespace almondtiller::dispatch
