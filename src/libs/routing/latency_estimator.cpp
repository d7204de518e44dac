#include "routing/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace almondtiller::routing {

namespace {

using seconds = std::chrono::duration<double>;

constexpr auto smallest_seconds = 1e-5;
constexpr auto bucket_ratio = 1.1;
/// Weights are rescaled beyond this factor, before they lose precision.
constexpr auto max_weight_scale = 1048576.0;

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

auto latency_estimator::weight_scale(core::time_point now) const -> double
{
    const auto half_lives =
        seconds(now - this->origin) / seconds(this->half_life);
    return std::exp2(std::max(half_lives, 0.0));
}

auto latency_estimator::rescale(core::time_point now) -> void
{
    const auto factor = 1.0 / this->weight_scale(now);
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
    if (this->weight_scale(now) > max_weight_scale) {
        this->rescale(now);
    }
    const auto ratio = seconds(latency).count() / smallest_seconds;
    const auto position =
        std::log(std::max(ratio, 1.0)) / std::log(bucket_ratio);
    const auto bucket = std::min(std::size_t(position), bucket_count - 1);
    const auto added = this->weight_scale(now);
    this->buckets[bucket] += float(added);
    this->total += added;
}

auto latency_estimator::weight(core::time_point now) const -> double
{
    return this->total / this->weight_scale(now);
}

auto latency_estimator::quantile(double quantile, core::time_point now) const
    -> core::duration
{
    constexpr auto rounding_tolerance = 1e-3;
    if (this->weight(now) < 1.0 - rounding_tolerance) {
        return {};
    }
    const auto target_weight = std::clamp(quantile, 0.0, 1.0) * this->total;
    auto cumulative = 0.0;
    auto found_bucket = std::size_t(0);
    for (auto index = std::size_t(0); index < bucket_count; ++index) {
        if (this->buckets[index] <= 0.0F) {
            continue;
        }
        cumulative += this->buckets[index];
        found_bucket = index;
        if (cumulative >= target_weight) {
            break;
        }
    }
    return upper_edge(found_bucket);
}

} // namespace almondtiller::routing
