#include "rollout/version_evidence.h"

#include <algorithm>
#include <functional>

namespace almondtiller::rollout {

namespace {

/// Several reports of each node fall into this time.
constexpr auto recent_time = core::milliseconds(3000);
/// A stable ninth decile needs as many samples.
constexpr auto recent_samples = 50.0;
/// Time of one report.
constexpr auto latest_time = core::milliseconds(500);
constexpr auto latest_samples = 5.0;
/// A zone with fewer samples is compared with the whole route as well.
constexpr auto zone_samples = 20.0;
/// Log ratio of a single route that makes it suspect without a decision: two
/// bad answers among few or three among more, because one bad answer on some
/// route is frequent with many routes.
constexpr auto suspect_route = 3.5;
/// Bad answers below which no version is suspect.
constexpr auto least_bad = 2.0;
/// The same for the samples since a change, as a part of the bound of the test.
constexpr auto suspect_part = 0.55;
/// Log ratio of a zone, which only confirms what a whole route has shown.
constexpr auto suspect_zone = 3.0;
/// New answers in a zone that could show slowness there.
constexpr auto least_zone_answers = 5.0;

auto is_suspect(const sequential_test& test) -> bool
{
    return (!test.is_accepted() && test.log_ratio() > suspect_route) ||
           test.recent_part() > suspect_part;
}

/// Adds the counts that the tests use.
auto merge(answer_counts& sum, const answer_counts& counts) -> void
{
    sum.answered += counts.answered;
    sum.failed += counts.failed;
    for (auto bucket = std::size_t(0);
         bucket < duration_histogram::bucket_count; ++bucket) {
        sum.durations.add(bucket, counts.durations.count_at(bucket));
    }
}

/// \return The sum of the log ratios of the routes that are undecided; zero
///         with too few bad answers.
template <typename Select>
auto undecided_sum(const std::map<std::string, route_evidence>& routes,
                   Select select) -> double
{
    auto sum = 0.0;
    auto bad = 0.0;
    for (const auto& [name, route] : routes) {
        const auto& test = select(route);
        sum += test.is_accepted() ? 0 : test.log_ratio();
        bad += test.is_accepted() ? 0 : test.totals().bad;
    }
    return bad >= least_bad ? sum : 0;
}

} // namespace

route_evidence::reference::reference()
    : recent(recent_time, recent_samples), latest(latest_time, latest_samples)
{}

auto route_evidence::reference::decay(core::duration elapsed) -> void
{
    this->recent.decay(elapsed);
    this->latest.decay(elapsed);
}

auto route_evidence::reference::add(const answer_counts& counts) -> void
{
    this->recent.add(counts);
    this->latest.add(counts);
}

auto route_evidence::decay(core::duration elapsed) -> void
{
    this->all_zones.decay(elapsed);
    for (auto& [zone, window] : this->zones) {
        window.decay(elapsed);
    }
}

auto route_evidence::add_old(const core::zone_name& zone,
                             const answer_counts& counts) -> void
{
    this->all_zones.add(counts);
    this->zones[zone].add(counts);
    this->old_total.answers += double(counts.answered);
    this->old_total.bad += double(counts.failed);
}

auto route_evidence::add_new(const core::zone_name& zone,
                             const answer_counts& counts) -> void
{
    this->failure_test.add({double(counts.answered), double(counts.failed)},
                           this->all_zones.recent.failures(),
                           this->all_zones.latest.failures());
    if (this->all_zones.recent.samples() <= 0) {
        return;
    }
    const auto& of_zone = this->zones[zone];
    const auto is_known = of_zone.recent.samples() >= zone_samples;
    const auto& compared = is_known ? of_zone : this->all_zones;
    auto bound = compared.recent.slow_above();
    if (!is_known && of_zone.recent.samples() > 0) {
        bound = std::max(bound, of_zone.recent.slow_above());
    }
    this->last_bound = bound;
    auto tested = share_sample{double(counts.durations.total()), 0};
    for (auto bucket = bound + 1; bucket < duration_histogram::bucket_count;
         ++bucket) {
        tested.bad += counts.durations.count_at(bucket);
    }
    const auto recent = compared.recent.slower_than(bound);
    const auto latest = compared.latest.slower_than(bound);
    this->slow_test.add(tested, recent, latest);
    this->slow_tests[zone].add(tested, recent, latest);
}

auto route_evidence::failures() const -> const sequential_test&
{
    return this->failure_test;
}

auto route_evidence::slowness() const -> const sequential_test&
{
    return this->slow_test;
}

auto route_evidence::old_answers() const -> const share_sample&
{
    return this->old_total;
}

auto route_evidence::slow_bound() const -> core::duration
{
    return bucket_bound(this->last_bound);
}

auto route_evidence::is_accepted() const -> bool
{
    const auto has_durations = this->slow_test.totals().answers > 0;
    return this->failure_test.is_accepted() &&
           (!has_durations || this->slow_test.is_accepted());
}

auto route_evidence::is_slow_across_zones() const -> bool
{
    auto tested = 0;
    auto slow = 0;
    for (const auto& [zone, test] : this->slow_tests) {
        tested += test.totals().answers >= least_zone_answers ? 1 : 0;
        slow += test.recent_log_ratio() > suspect_zone ? 1 : 0;
    }
    return slow >= std::min(tested, 2);
}

auto version_evidence::add(const answers_by_key& counted, core::time_point now)
    -> void
{
    const auto elapsed = now - this->decayed_at.value_or(now);
    this->decayed_at = now;
    for (auto& [name, route] : this->by_route) {
        route.decay(elapsed);
    }
    for (const auto& [key, counts] : counted) {
        if (key.is_new) {
            continue;
        }
        if (!this->is_promoted) {
            this->by_route[key.route].add_old(key.zone, counts);
        }
        for (auto bucket = this->longest_bucket + 1;
             bucket < duration_histogram::bucket_count; ++bucket) {
            if (counts.lifetimes.count_at(bucket) > 0) {
                this->longest_bucket = bucket;
            }
        }
    }
    for (const auto& [key, counts] : counted) {
        if (key.is_new) {
            merge(this->waiting[key], counts);
        }
    }
    const auto waits =
        !this->is_promoted && now - this->tested_at.value_or(now) < latest_time;
    if (!this->tested_at || !waits) {
        this->tested_at = now;
    }
    if (!waits) {
        this->test_waiting();
    }
}

auto version_evidence::test_waiting() -> void
{
    for (const auto& [key, counts] : this->waiting) {
        this->by_route[key.route].add_new(key.zone, counts);
    }
    this->waiting.clear();
}

auto version_evidence::on_promoted() -> void
{
    this->test_waiting();
    this->is_promoted = true;
}

auto version_evidence::counts_slowness(const route_evidence& route) const
    -> bool
{
    return !this->is_promoted || route.is_slow_across_zones();
}

auto version_evidence::rejection() const -> std::optional<finding>
{
    for (const auto& [name, route] : this->by_route) {
        if (route.failures().is_rejected()) {
            return finding{name, "failures"};
        }
        if (route.slowness().is_rejected() && this->counts_slowness(route)) {
            return finding{name, "slow"};
        }
    }
    return std::nullopt;
}

auto version_evidence::is_accepted() const -> bool
{
    return !this->by_route.empty() &&
           std::ranges::all_of(this->by_route, [](const auto& entry) {
               return entry.second.is_accepted();
           });
}

auto version_evidence::likely_bad(double margin) const -> std::optional<finding>
{
    for (const auto& [name, route] : this->by_route) {
        if (is_suspect(route.failures())) {
            return finding{name, "failures"};
        }
        if (is_suspect(route.slowness()) && this->counts_slowness(route)) {
            return finding{name, "slow"};
        }
    }
    if (undecided_sum(this->by_route, std::mem_fn(&route_evidence::failures)) >
        margin) {
        return finding{"", "failures"};
    }
    if (undecided_sum(this->by_route, std::mem_fn(&route_evidence::slowness)) >
        margin) {
        return finding{"", "slow"};
    }
    return std::nullopt;
}

auto version_evidence::routes() const
    -> const std::map<std::string, route_evidence>&
{
    return this->by_route;
}

auto version_evidence::new_answers() const -> std::uint64_t
{
    auto sum = 0.0;
    for (const auto& [name, route] : this->by_route) {
        sum += route.failures().totals().answers;
    }
    return std::uint64_t(sum);
}

auto version_evidence::longest_old_work() const -> core::duration
{
    return this->longest_bucket == 0 ? core::duration(0)
                                     : bucket_bound(this->longest_bucket);
}

} // namespace almondtiller::rollout
