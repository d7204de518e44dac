#pragma once

#include "rollout/reference_window.h"
#include "rollout/report_ledger.h"
#include "rollout/sequential_test.h"

#include <map>
#include <optional>
#include <string>

namespace almondtiller::rollout {

/// What is known about the new version on one route, against the old version on
/// the same route.
class route_evidence
{
public:
    auto decay(core::duration elapsed) -> void;
    auto add_old(const core::zone_name& zone, const answer_counts& counts)
        -> void;
    /// \pre The answers of the old version from the same time have been added.
    auto add_new(const core::zone_name& zone, const answer_counts& counts)
        -> void;

    [[nodiscard]] auto failures() const -> const sequential_test&;
    [[nodiscard]] auto slowness() const -> const sequential_test&;
    /// \return Answers of the old version since the order.
    [[nodiscard]] auto old_answers() const -> const share_sample&;
    [[nodiscard]] auto slow_bound() const -> core::duration;

    /// \return Whether both shares were found equal. The durations are left out
    ///         if the old or the new version has none.
    [[nodiscard]] auto is_accepted() const -> bool;

    /// \return Whether the version is suspected to be slow in two zones, or in
    ///         the only one. A single slow zone is no fault of the version.
    [[nodiscard]] auto is_slow_across_zones() const -> bool;

private:
    /// Recent answers of the old version, and the latest of them.
    struct reference
    {
        reference_window recent;
        reference_window latest;

        reference();
        auto decay(core::duration elapsed) -> void;
        auto add(const answer_counts& counts) -> void;
    };

    reference all_zones;
    std::map<core::zone_name, reference> zones;
    share_sample old_total;
    sequential_test failure_test;
    sequential_test slow_test;
    std::map<core::zone_name, sequential_test> slow_tests;
    std::size_t last_bound = 0;
};

/// A finding against a version.
struct finding
{
    /// Empty if all routes together decided.
    std::string route;
    /// "failures" or "slow".
    std::string reason;

    auto operator==(const finding&) const -> bool = default;
};

/// What is known about the new version on all routes. Load pattern: a version
/// that is bad on one route of many, at once or later.
class version_evidence
{
public:
    /// Takes what one node has counted since its last report. Answers of the
    /// new version wait until those of the old version from the same time have
    /// been reported by the other nodes too, unless it has been promoted.
    auto add(const answers_by_key& counted, core::time_point now) -> void;

    /// Tests the answers that wait.
    auto test_waiting() -> void;

    /// The old version gets no more work. What it still answers is the work
    /// that takes longest and no reference; a slow zone is distinguished from a
    /// slow version by the other zones.
    auto on_promoted() -> void;

    /// \return The first route on which a test was rejected.
    [[nodiscard]] auto rejection() const -> std::optional<finding>;

    /// \return Whether the tests of all routes with answers are accepted.
    [[nodiscard]] auto is_accepted() const -> bool;

    /// \return Why the version is more likely bad than good.
    /// \param margin What the logarithm of the likelihood ratio of all routes
    ///        must exceed.
    [[nodiscard]] auto likely_bad(double margin) const
        -> std::optional<finding>;

    [[nodiscard]] auto routes() const
        -> const std::map<std::string, route_evidence>&;
    [[nodiscard]] auto new_answers() const -> std::uint64_t;
    /// \return The longest time that work of the old version took to end.
    [[nodiscard]] auto longest_old_work() const -> core::duration;

private:
    std::map<std::string, route_evidence> by_route;
    answers_by_key waiting;
    std::optional<core::time_point> tested_at;
    std::optional<core::time_point> decayed_at;
    std::size_t longest_bucket = 0;
    bool is_promoted = false;

    [[nodiscard]] auto counts_slowness(const route_evidence& route) const
        -> bool;
};

} // namespace almondtiller::rollout
