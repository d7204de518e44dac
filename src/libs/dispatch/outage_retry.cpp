#include "dispatch/outage_retry.h"

#include <algorithm>

namespace almondtiller::dispatch {

namespace {

/// Share of its time left that a caller waits at most.
constexpr auto longest_share = 1.0 / 3.0;
/// Share of the longest wait over which callers return.
constexpr auto spread_share = 0.3;
/// A node that reaches the store takes requests after that time.
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
