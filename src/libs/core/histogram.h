#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace almondtiller::core {

/// A cumulative bucket of a latency histogram.
struct histogram_bucket
{
    double upper_seconds;
    std::uint64_t cumulative_count;

    auto operator==(const histogram_bucket&) const -> bool = default;
};

/// Counts latencies from 10 microseconds to 1,000 seconds with a relative
/// error of at most 2 %. Thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    auto operator=(const latency_histogram&) -> latency_histogram& = delete;

    auto record(duration latency) -> void;

    /// \param quantile In [0, 1].
    /// \return The upper edge of the bucket that contains the quantile; zero if
    ///         nothing was recorded.
    [[nodiscard]] auto quantile(double quantile) const -> duration;
    [[nodiscard]] auto count() const -> std::uint64_t;
    [[nodiscard]] auto sum_seconds() const -> double;

    /// \param edges Ascending upper edges in seconds.
    [[nodiscard]] auto buckets(const std::vector<double>& edges) const
        -> std::vector<histogram_bucket>;

private:
    struct storage;
    std::unique_ptr<storage> data;
};

} // namespace almondtiller::core
