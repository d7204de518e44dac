#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>

namespace almondtiller::routing {

/// Estimates quantiles of recent latencies from a histogram with exponential
/// decay: observations lose half of their weight with each half-life, so that
/// the estimate follows changes of the pool.
class latency_estimator
{
public:
    explicit latency_estimator(
        core::duration half_life = std::chrono::seconds(10));

    auto record(core::duration latency, core::time_point now) -> void;

    /// \param quantile In [0, 1].
    /// \return The upper edge of the bucket that contains the quantile; zero
    ///         while the total weight is less than one observation.
    [[nodiscard]] auto quantile(double quantile, core::time_point now) const
        -> core::duration;

    /// \return The decayed number of observations. Below 1 the quantiles are
    ///         unknown.
    [[nodiscard]] auto weight(core::time_point now) const -> double;

private:
    static constexpr std::size_t bucket_count = 200;

    [[nodiscard]] auto weight_scale(core::time_point now) const -> double;
    auto rescale(core::time_point now) -> void;

    core::duration half_life;
    core::time_point origin;
    std::array<float, bucket_count> buckets{};
    double total = 0.0;
};

} // namespace almondtiller::routing
