#include "rollout/report.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace almondtiller::rollout {

namespace {

/// \return The upper bound of a bucket.
auto bound_of(std::size_t bucket) -> core::duration
{
    const auto factor =
        std::pow(duration_histogram::bound_ratio, double(bucket));
    return core::duration(core::duration::rep(
        double(duration_histogram::first_bound.count()) * factor));
}

} // namespace

auto duration_histogram::bucket_of(core::duration value) -> std::size_t
{
    if (value <= first_bound) {
        return 0;
    }
    const auto ratio = double(value.count()) / double(first_bound.count());
    const auto bucket = std::ceil(std::log(ratio) / std::log(bound_ratio));
    return std::min(std::size_t(bucket), bucket_count - 1);
}

auto duration_histogram::record(core::duration value) -> void
{
    this->add(bucket_of(value), 1);
}

auto duration_histogram::add(std::size_t bucket, std::uint32_t count) -> void
{
    this->counts.at(bucket) += count;
}

auto duration_histogram::count_at(std::size_t bucket) const -> std::uint32_t
{
    return this->counts.at(bucket);
}

auto duration_histogram::total() const -> std::uint64_t
{
    return std::accumulate(this->counts.begin(), this->counts.end(),
                           std::uint64_t(0));
}

auto duration_histogram::quantile(double share) const -> core::duration
{
    const auto wanted = share * double(this->total());
    auto below = 0.0;
    for (auto bucket = std::size_t(0); bucket < bucket_count; ++bucket) {
        below += double(this->counts.at(bucket));
        if (below > 0 && below >= wanted) {
            return bound_of(bucket);
        }
    }
    return core::duration(0);
}

} // namespace almondtiller::rollout
