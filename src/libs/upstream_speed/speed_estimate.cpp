#include "upstream_speed/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace almondtiller::upstream_speed {

namespace {

/// Samples of this time count as one, because a disturbance affects all of
/// them.
constexpr auto bin_time = core::milliseconds(500);
/// Bins of the usual speed that an estimate begins with: six bins of another
/// speed outweigh them, while disturbances of that length are rare.
constexpr auto prior_bins = std::size_t(3);
/// The estimate is this quantile of the bins. It is below the median because a
/// bin that touches a disturbance at its edge is slow as well: disturbances of
/// about the length of a bin affect nearly twice as many bins as they last.
constexpr auto quantile = 0.35;
/// Bounds of a sample and of the parts, so that no figure excludes an upstream.
constexpr auto max_ratio = 8.0;
constexpr auto max_slow_part = 4.0;
constexpr auto min_quick_part = 0.5;
constexpr auto max_quick_part = 5.0;
/// Bounds of what a machine plausibly states.
constexpr auto min_stated = 0.1;
constexpr auto max_stated = 20.0;
/// Differences below this factor are noise of the measurement; upstreams of the
/// same speed are to be treated the same. With 1.08, noise that nobody states
/// made 24 even upstreams serve 5 % more requests late in a replay; with 1.15
/// it made no difference.
constexpr auto least_difference = 1.15;

auto is_positive(double value) -> bool
{
    return std::isfinite(value) && value > 0.0;
}

} // namespace

auto speed_estimate::record(double ratio, core::time_point now) -> void
{
    if (!is_positive(ratio)) {
        return;
    }
    if (this->open_count > 0 && now - this->open_since >= bin_time) {
        this->close_bin();
    }
    if (this->open_count == 0) {
        this->open_since = now;
    }
    this->open_sum += std::log(std::clamp(ratio, 1.0 / max_ratio, max_ratio));
    ++this->open_count;
    ++this->count;
}

auto speed_estimate::close_bin() -> void
{
    if (this->used_bins == 0) {
        this->used_bins = prior_bins;
        this->next_bin = prior_bins;
    }
    this->bins[this->next_bin] = this->open_sum / double(this->open_count);
    this->next_bin = (this->next_bin + 1) % bin_count;
    this->used_bins = std::min(this->used_bins + 1, bin_count);
    this->open_sum = 0;
    this->open_count = 0;
    auto sorted = this->bins;
    const auto index = std::size_t(quantile * double(this->used_bins));
    const auto first = sorted.begin();
    std::nth_element(first, first + std::ptrdiff_t(index),
                     first + std::ptrdiff_t(this->used_bins));
    this->measured_ratio = std::exp(sorted[index]);
    this->update_relative();
}

auto speed_estimate::set_usual(double slow_part) -> void
{
    if (is_positive(slow_part) && slow_part != this->usual) {
        this->usual = slow_part;
        this->update_relative();
    }
}

auto speed_estimate::update_relative() -> void
{
    // Nothing is known of an upstream whose first bin is not complete.
    const auto ratio =
        this->used_bins == 0 ? 1.0 : this->measured_ratio / this->usual;
    const auto is_same =
        ratio < least_difference && ratio > 1.0 / least_difference;
    this->relative =
        is_same ? 1.0 : std::clamp(ratio, 1.0 / max_slow_part, max_slow_part);
}

auto speed_estimate::state(double factor, core::time_point at) -> void
{
    const auto is_plausible = factor >= min_stated && factor <= max_stated;
    if (is_plausible &&
        (!this->last_statement || at >= this->last_statement->at)) {
        this->last_statement = statement{factor, at};
    }
}

auto speed_estimate::quick_part(core::time_point now) const -> double
{
    if (!this->last_statement ||
        now - this->last_statement->at >= stated_lifetime) {
        return 1.0;
    }
    const auto age =
        std::max(now - this->last_statement->at, core::duration(0));
    const auto weight =
        1.0 - std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(stated_lifetime);
    const auto bounded = std::clamp(this->last_statement->factor,
                                    min_quick_part, max_quick_part);
    return 1.0 + (bounded - 1.0) * weight;
}

auto speed_estimate::expected_ms(double usual_ms, core::time_point now) const
    -> double
{
    const auto slow_ms = usual_ms * this->relative;
    const auto quick = this->quick_part(now);
    if (quick == 1.0) {
        return slow_ms;
    }
    const auto held = std::chrono::duration<double, std::milli>(
                          this->last_statement->at + stated_lifetime - now)
                          .count();
    const auto lasting_ms = std::min(
        held,
        std::chrono::duration<double, std::milli>(stated_lifetime).count());
    return slow_ms * quick <= lasting_ms
               ? slow_ms * quick
               : slow_ms + lasting_ms * (1.0 - 1.0 / quick);
}

auto speed_estimate::measured() const -> double
{
    return this->measured_ratio;
}

auto speed_estimate::slow_part() const -> double
{
    return this->relative;
}

auto speed_estimate::samples() const -> std::uint64_t
{
    return this->count;
}

auto speed_estimate::is_known() const -> bool
{
    return this->used_bins > 0;
}

auto speed_estimate::stated() const -> const std::optional<statement>&
{
    return this->last_statement;
}

} // namespace almondtiller::upstream_speed
