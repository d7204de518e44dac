#pragma once

#include "rollout/report.h"
#include "rollout/sequential_test.h"

#include <array>

namespace almondtiller::rollout {

/// Recent answers of the old version on a route. Old samples lose weight with
/// time, but only as far as enough others remain. Load pattern: a zone becomes
/// slow or a dependency fails for both versions at once.
class reference_window
{
public:
    /// \param memory Time in which the weight of a sample falls to a third.
    /// \param kept_samples Weight that remains in any case.
    reference_window(core::duration memory, double kept_samples);

    /// Lets the weight of earlier samples decay for a time.
    auto decay(core::duration elapsed) -> void;

    auto add(const answer_counts& counts) -> void;

    /// \return Weight of the durations.
    [[nodiscard]] auto samples() const -> double;

    /// \return The bucket above which a duration counts as slow: it ends
    /// nearest
    ///         to twice the time within which nine in ten answers are complete,
    ///         or to more if there are few samples.
    [[nodiscard]] auto slow_above() const -> std::size_t;

    /// \return Answers, and how many of them failed.
    [[nodiscard]] auto failures() const -> share_sample;

    /// \return Durations, and how many of them are in buckets above a bucket.
    [[nodiscard]] auto slower_than(std::size_t bucket) const -> share_sample;

private:
    core::duration memory;
    double kept_samples;
    std::array<double, duration_histogram::bucket_count> durations{};
    share_sample answers;
};

/// \return The upper bound of a bucket of duration_histogram.
[[nodiscard]] auto bucket_bound(std::size_t bucket) -> core::duration;

/// \return What was counted after an earlier state of the same counts.
[[nodiscard]] auto difference(const answer_counts& newer,
                              const answer_counts& older) -> answer_counts;

} // namespace almondtiller::rollout
