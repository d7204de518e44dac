#include "dispatch/arrival_rates.h"

#include <cmath>
#include <limits>

namespace almondtiller::dispatch {

namespace {

/// Time after which an arrival has its full weight: long enough to average over
/// several calls of a stage, short compared with a burst of seconds.
constexpr auto averaging_seconds = 0.7;

} // namespace

auto arrival_rates::decay(const rate& entry, core::time_point now) -> rate
{
    const auto age =
        std::chrono::duration<double>(now - entry.updated).count() /
        averaging_seconds;
    const auto kept = std::exp(-age);
    return {entry.first_stage * kept,
            (entry.second_stage + entry.first_stage * age) * kept, now};
}

auto arrival_rates::record(int priority, std::size_t pieces,
                           core::time_point now) -> void
{
    auto& entry = this->rates[priority];
    entry = decay(entry, now);
    entry.first_stage += double(pieces);
}

auto arrival_rates::rate_more_urgent_than(int priority,
                                          core::time_point now) const -> double
{
    auto pieces = 0.0;
    for (const auto& [recorded_priority, entry] : this->rates) {
        if (recorded_priority < priority) {
            pieces += decay(entry, now).second_stage;
        }
    }
    return pieces / averaging_seconds;
}

auto arrival_rates::total_rate(core::time_point now) const -> double
{
    return this->rate_more_urgent_than(std::numeric_limits<int>::max(), now);
}

} // namespace almondtiller::dispatch
