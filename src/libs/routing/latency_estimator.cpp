#include "routing/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace almondtiller::routing {

namespace {

using seconds = std::chrono::duration<double>;

constexpr auto smallest_seconds = 1e-5;
constexpr auto bucket_ratio = 1.1;
/// Weights are rescaled beyond this factor, before they lose precision.
constexpr auto largest_growth = 1048576.0;

auto upper_edge(std::size_t bucket) -> core::duration
{
    const auto edge =
        smallest_seconds * std::pow(bucket_ratio, double(bucket + 1));
    return std::chrono::duration_cast<core::duration>(seconds(edge));
}

} // namespace

latency_estimator::latency_estimator(core::duration half_life)
    : half_life(half_life)
{}

auto latency_estimator::growth(core::time_point now) const -> double
{
    const auto halves = seconds(now - this->origin) / seconds(this->half_life);
    return std::exp2(std::max(halves, 0.0));
}

auto latency_estimator::rescale(core::time_point now) -> void
{
    const auto factor = 1.0 / this->growth(now);
    for (auto& bucket : this->buckets) {
        bucket = float(bucket * factor);
    }
    this->total *= factor;
    this->origin = now;
}

auto latency_estimator::record(core::duration latency, core::time_point now)
    -> void
{
    if (this->total <= 0.0) {
        this->origin = now;
    }
    if (this->growth(now) > largest_growth) {
        this->rescale(now);
    }
    const auto ratio = seconds(latency).count() / smallest_seconds;
    const auto position =
        std::log(std::max(ratio, 1.0)) / std::log(bucket_ratio);
    const auto bucket = std::min(std::size_t(position), bucket_count - 1);
    const auto added = this->growth(now);
    this->buckets[bucket] += float(added);
    this->total += added;
}

auto latency_estimator::weight(core::time_point now) const -> double
{
    return this->total / this->growth(now);
}

auto latency_estimator::quantile(double quantile, core::time_point now) const
    -> core::duration
{
    constexpr auto rounding = 1e-3;
    if (this->weight(now) < 1.0 - rounding) {
        return {};
    }
    const auto wanted = std::clamp(quantile, 0.0, 1.0) * this->total;
    auto seen = 0.0;
    auto last = std::size_t(0);
    for (auto index = std::size_t(0); index < bucket_count; ++index) {
        if (this->buckets[index] <= 0.0F) {
            continue;
        }
        seen += this->buckets[index];
        last = index;
        if (seen >= wanted) {
            break;
        }
    }
    return upper_edge(last);
}

} // namespace almondtiller::routing
