#include "routing/concurrency_limit.h"

#include <algorithm>

namespace almondtiller::routing {

namespace {

constexpr auto initial_share = 0.25;
constexpr auto decrease_factor = 0.8;
/// Ratio of recent latency to baseline above which the upstream is overloaded.
constexpr auto overload_ratio = 2.0;
constexpr auto recent_gain = 0.1;
/// The baseline follows falling latency quickly and rising latency slowly.
constexpr auto baseline_gain_down = 0.05;
constexpr auto baseline_gain_up = 0.002;
constexpr auto min_decrease_interval = std::chrono::milliseconds(10);

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t smallest,
                                     std::uint32_t largest)
    : smallest(smallest),
      largest(largest),
      limit(std::max(double(smallest), initial_share * double(largest)))
{}

auto concurrency_limit::set_bounds(std::uint32_t smallest,
                                   std::uint32_t largest) -> void
{
    this->smallest = smallest;
    this->largest = std::max(smallest, largest);
    this->limit = std::clamp(this->limit, this->smallest, this->largest);
}

auto concurrency_limit::increase() -> void
{
    const auto step = this->slow_start ? 1.0 : 1.0 / this->limit;
    this->limit = std::min(this->limit + step, this->largest);
}

auto concurrency_limit::decrease(core::time_point now) -> void
{
    if (now < this->next_decrease) {
        return;
    }
    this->slow_start = false;
    this->limit = std::max(this->limit * decrease_factor, this->smallest);
    const auto round_trip = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(this->recent_seconds));
    this->next_decrease =
        now + std::max(round_trip, core::duration(min_decrease_interval));
}

auto concurrency_limit::on_success(core::duration latency,
                                   std::uint32_t in_flight,
                                   core::time_point now) -> void
{
    const auto observed = std::chrono::duration<double>(latency).count();
    if (this->baseline_seconds <= 0.0) {
        this->baseline_seconds = observed;
        this->recent_seconds = observed;
    }
    this->recent_seconds += recent_gain * (observed - this->recent_seconds);
    const auto gain = observed < this->baseline_seconds ? baseline_gain_down
                                                        : baseline_gain_up;
    this->baseline_seconds += gain * (observed - this->baseline_seconds);
    if (this->recent_seconds > overload_ratio * this->baseline_seconds) {
        this->decrease(now);
        return;
    }
    const auto limit_is_used = 2.0 * double(in_flight) >= this->limit;
    if (limit_is_used) {
        this->increase();
    }
}

auto concurrency_limit::on_overload(core::time_point now) -> void
{
    this->decrease(now);
}

auto concurrency_limit::value() const -> std::uint32_t
{
    return std::uint32_t(this->limit);
}

} // namespace almondtiller::routing
