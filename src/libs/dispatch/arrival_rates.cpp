#include "dispatch/arrival_rates.h"

#include <cmath>
#include <limits>

namespace almondtiller::dispatch {

namespace {

/// Time after which an arrival has its full weight: long enough to average over
/// several calls of a stage, short compared with a burst of seconds.
constexpr auto averaging_seconds = 0.7;

} // namespace

auto arrival_rates::at(const rate& entry, core::time_point now) -> rate
{
    const auto age =
        std::chrono::duration<double>(now - entry.updated).count() /
        averaging_seconds;
    const auto kept = std::exp(-age);
    return {entry.newest * kept, (entry.settled + entry.newest * age) * kept,
            now};
}

auto arrival_rates::record(int priority, std::size_t pieces,
                           core::time_point now) -> void
{
    auto& entry = this->rates[priority];
    entry = at(entry, now);
    entry.newest += double(pieces);
}

auto arrival_rates::more_urgent(int priority, core::time_point now) const
    -> double
{
    auto pieces = 0.0;
    for (const auto& [rank, entry] : this->rates) {
        if (rank < priority) {
            pieces += at(entry, now).settled;
        }
    }
    return pieces / averaging_seconds;
}

auto arrival_rates::total(core::time_point now) const -> double
{
    return this->more_urgent(std::numeric_limits<int>::max(), now);
}

} // namespace almondtiller::dispatch
