#include "core/histogram.h"

#include <boost/histogram.hpp>

#include <atomic>
#include <cmath>

namespace almondtiller::core {

namespace {

namespace bh = boost::histogram;

constexpr auto lowest_seconds = 10e-6;
constexpr auto highest_seconds = 1e3;
/// Number of buckets over eight decades; each is about 1.9 % wide.
constexpr auto bucket_count = 980U;

using axis_type = bh::axis::regular<double, bh::axis::transform::log>;
using counter_type = bh::accumulators::thread_safe<std::uint64_t>;
using histogram_type = decltype(bh::make_histogram_with(
    bh::dense_storage<counter_type>(), std::declval<axis_type>()));

auto to_seconds(duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct latency_histogram::storage
{
    histogram_type counts = bh::make_histogram_with(
        bh::dense_storage<counter_type>(),
        axis_type(bucket_count, lowest_seconds, highest_seconds));
    std::atomic<std::uint64_t> total = 0;
    std::atomic<std::int64_t> total_nanoseconds = 0;
};

latency_histogram::latency_histogram() : data(std::make_unique<storage>())
{}

latency_histogram::~latency_histogram() = default;

auto latency_histogram::record(duration latency) -> void
{
    this->data->counts(to_seconds(latency));
    this->data->total.fetch_add(1, std::memory_order_relaxed);
    this->data->total_nanoseconds.fetch_add(
        std::chrono::nanoseconds(latency).count(), std::memory_order_relaxed);
}

auto latency_histogram::quantile(double quantile) const -> duration
{
    const auto total = this->count();
    if (total == 0) {
        return duration::zero();
    }
    const auto rank = std::uint64_t(std::ceil(quantile * double(total)));
    const auto& axis = this->data->counts.axis(0);
    auto cumulative = std::uint64_t(0);
    for (auto index = -1; index <= axis.size(); ++index) {
        cumulative += this->data->counts.at(index).load();
        if (cumulative >= rank && cumulative > 0) {
            const auto edge = std::min(axis.value(index + 1), highest_seconds);
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(edge));
        }
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(highest_seconds));
}

auto latency_histogram::count() const -> std::uint64_t
{
    return this->data->total.load(std::memory_order_relaxed);
}

auto latency_histogram::sum_seconds() const -> double
{
    constexpr auto nanoseconds_per_second = 1e9;
    return double(this->data->total_nanoseconds.load()) /
           nanoseconds_per_second;
}

auto latency_histogram::buckets(const std::vector<double>& edges) const
    -> std::vector<histogram_bucket>
{
    auto rows = std::vector<histogram_bucket>();
    const auto& axis = this->data->counts.axis(0);
    auto index = -1;
    auto cumulative = std::uint64_t(0);
    for (const auto edge : edges) {
        while (index < axis.size() && axis.value(index + 1) <= edge) {
            cumulative += this->data->counts.at(index).load();
            ++index;
        }
        rows.push_back({edge, cumulative});
    }
    return rows;
}

} // namespace almondtiller::core
