#include "dispatch/request_pacer.h"

#include <algorithm>
#include <limits>

namespace almondtiller::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

/// Lower bound of the rate: the end of a limit shows only in an answer.
constexpr auto min_per_second = 0.25;
/// Time for which unused requests accumulate, for requests that arrive in
/// clumps.
constexpr auto reserve_time = seconds(1.5);
/// Largest number of unused requests. The upstreams accept more than the rate
/// in a window of 4 s, by a half and five requests. What the reserve leaves of
/// that covers two owners at once for 2 s, in which a change of membership
/// reaches all nodes.
constexpr auto max_reserve = 3.0;

} // namespace

auto request_pacer::set_limit(std::optional<double> limit) -> void
{
    const auto was_limited = this->is_limited();
    this->per_second = limit;
    if (!was_limited) {
        // No reserve: another node may have used it before this one became the
        // owner.
        this->tokens = 1.0;
        this->updated_at.reset();
    }
}

auto request_pacer::is_limited() const -> bool
{
    return this->per_second.has_value();
}

auto request_pacer::rate() const -> double
{
    return this->per_second ? std::max(*this->per_second, min_per_second)
                            : std::numeric_limits<double>::infinity();
}

auto request_pacer::capacity() const -> double
{
    return 1.0 + std::min(this->rate() * reserve_time.count(), max_reserve);
}

auto request_pacer::next_at() const -> core::time_point
{
    if (!this->is_limited() || !this->updated_at) {
        return core::time_point();
    }
    const auto missing = std::max(1.0 - this->tokens, 0.0);
    return *this->updated_at +
           std::chrono::ceil<core::duration>(seconds(missing / this->rate()));
}

auto request_pacer::allows(core::time_point now) const -> bool
{
    return this->next_at() <= now;
}

auto request_pacer::record(core::time_point now) -> void
{
    if (!this->is_limited()) {
        return;
    }
    if (this->updated_at) {
        const auto refill =
            seconds(now - *this->updated_at).count() * this->rate();
        this->tokens = std::min(this->tokens + refill, this->capacity());
    }
    this->tokens -= 1.0;
    this->updated_at = now;
}

} // namespace almondtiller::dispatch
