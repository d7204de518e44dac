#include "rollout/reference_window.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace almondtiller::rollout {

namespace {

constexpr auto usual_share = 0.9;
constexpr auto slow_factor = 2.0;
/// An answer within this time is never slow. The scheduling of busy machines
/// varies by some milliseconds, and no caller notices less.
constexpr auto min_slow_time = core::milliseconds(20);
/// The decile of n samples is uncertain by about this over n.
constexpr auto few_samples_margin = 1.0;

auto newer_count(std::uint64_t newer, std::uint64_t older) -> std::uint64_t
{
    return newer > older ? newer - older : 0;
}

auto difference(const duration_histogram& newer,
                const duration_histogram& older) -> duration_histogram
{
    auto result = duration_histogram();
    for (auto bucket = std::size_t(0);
         bucket < duration_histogram::bucket_count; ++bucket) {
        result.add(bucket, std::uint32_t(newer_count(newer.count_at(bucket),
                                                     older.count_at(bucket))));
    }
    return result;
}

} // namespace

reference_window::reference_window(core::duration memory, double kept_samples)
    : memory(memory), kept_samples(kept_samples)
{}

auto reference_window::decay(core::duration elapsed) -> void
{
    const auto kept =
        std::exp(-double(elapsed.count()) / double(this->memory.count()));
    const auto decayed_share = [&](double weight) {
        return weight <= this->kept_samples
                   ? 1.0
                   : std::max(kept, this->kept_samples / weight);
    };
    const auto of_durations = decayed_share(this->samples());
    for (auto& weight : this->durations) {
        weight *= of_durations;
    }
    const auto of_answers = decayed_share(this->answers.answers);
    this->answers.answers *= of_answers;
    this->answers.bad *= of_answers;
}

auto reference_window::add(const answer_counts& counts) -> void
{
    for (auto bucket = std::size_t(0);
         bucket < duration_histogram::bucket_count; ++bucket) {
        this->durations.at(bucket) += counts.durations.count_at(bucket);
    }
    this->answers.answers += double(counts.answered);
    this->answers.bad += double(counts.failed);
}

auto reference_window::samples() const -> double
{
    return std::accumulate(this->durations.begin(), this->durations.end(), 0.0);
}

auto reference_window::slow_above() const -> std::size_t
{
    const auto total = this->samples();
    auto bucket = std::size_t(0);
    auto below = 0.0;
    while (bucket + 1 < duration_histogram::bucket_count &&
           below + this->durations.at(bucket) < usual_share * total) {
        below += this->durations.at(bucket);
        ++bucket;
    }
    // Bounds grow by a constant ratio, so that they are added as exponents.
    const auto within = std::max(this->durations.at(bucket), 1e-9);
    const auto usual =
        double(bucket) - 1 +
        std::clamp((usual_share * total - below) / within, 0.0, 1.0);
    const auto margin = 1 + few_samples_margin / std::max(total, 1.0);
    const auto factor = std::log(slow_factor * margin) /
                        std::log(duration_histogram::bound_ratio);
    const auto bound = std::max(std::round(usual + factor), 0.0);
    return std::clamp(std::size_t(bound),
                      duration_histogram::bucket_of(min_slow_time),
                      duration_histogram::bucket_count - 1);
}

auto reference_window::failures() const -> share_sample
{
    return this->answers;
}

auto reference_window::slower_than(std::size_t bucket) const -> share_sample
{
    const auto first =
        this->durations.begin() +
        std::ptrdiff_t(std::min(bucket + 1, duration_histogram::bucket_count));
    return {this->samples(),
            std::accumulate(first, this->durations.end(), 0.0)};
}

auto bucket_bound(std::size_t bucket) -> core::duration
{
    const auto factor =
        std::pow(duration_histogram::bound_ratio, double(bucket));
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(duration_histogram::first_bound) *
        factor);
}

auto difference(const answer_counts& newer, const answer_counts& older)
    -> answer_counts
{
    return {newer_count(newer.answered, older.answered),
            newer_count(newer.failed, older.failed),
            difference(newer.durations, older.durations),
            difference(newer.lifetimes, older.lifetimes)};
}

} // namespace almondtiller::rollout
