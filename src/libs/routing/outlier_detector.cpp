#include "routing/outlier_detector.h"

#include <algorithm>

namespace almondtiller::routing {

namespace {

constexpr auto failures_to_eject = 5U;
constexpr auto slow_responses_to_eject = 8U;
constexpr auto slow_ratio = 4;
constexpr auto slow_margin = std::chrono::milliseconds(20);
constexpr auto probes_to_admit = 3U;
constexpr auto first_ejection = core::duration(std::chrono::seconds(1));
constexpr auto longest_ejection = core::duration(std::chrono::seconds(60));
constexpr auto largest_shift = 6U;

} // namespace

auto outlier_detector::on_success(core::duration latency,
                                  core::duration pool_median,
                                  core::time_point now) -> bool
{
    this->failures = 0;
    const auto is_slow = pool_median > core::duration::zero() &&
                         latency > slow_ratio * pool_median + slow_margin;
    this->slow_responses = is_slow ? this->slow_responses + 1 : 0;
    if (!this->ejected) {
        return this->slow_responses >= slow_responses_to_eject;
    }
    if (now < this->ejection_end) {
        return false;
    }
    if (is_slow) {
        return true;
    }
    ++this->successful_probes;
    if (this->successful_probes >= probes_to_admit) {
        this->ejected = false;
        this->successful_probes = 0;
    }
    return false;
}

auto outlier_detector::on_failure(core::time_point now) -> bool
{
    ++this->failures;
    if (this->ejected) {
        return now >= this->ejection_end;
    }
    return this->failures >= failures_to_eject;
}

auto outlier_detector::eject(core::time_point now) -> void
{
    const auto shift = std::min(this->ejections, largest_shift);
    this->ejection_end =
        now + std::min(first_ejection * (1 << shift), longest_ejection);
    this->ejected = true;
    this->successful_probes = 0;
    this->failures = 0;
    this->slow_responses = 0;
    ++this->ejections;
}

auto outlier_detector::reset() -> void
{
    *this = outlier_detector();
}

auto outlier_detector::is_ejected() const -> bool
{
    return this->ejected;
}

auto outlier_detector::admits(std::uint32_t in_flight,
                              core::time_point now) const -> bool
{
    if (!this->ejected) {
        return true;
    }
    return now >= this->ejection_end && in_flight == 0;
}

auto outlier_detector::ejected_until() const -> core::time_point
{
    return this->ejection_end;
}

} // namespace almondtiller::routing
