#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "serving/configuration.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace almondtiller::rollout {

/// An operator's order to move the traffic of a service to the upstreams of a
/// version.
struct order
{
    serving::service_name service;
    /// The version to which the traffic moves.
    std::string to;
    /// Time from the order to its deadline.
    core::duration duration{0};
    /// Distinguishes orders with the same content: the `created` field of the
    /// stored object.
    std::int64_t created = 0;

    auto operator==(const order&) const -> bool = default;
};

/// State of an order as the operator reads it.
enum class order_state
{
    running,
    completed,
    rolled_back,
};

/// How the work of a service is divided between the version of the order and
/// the other, old versions.
enum class phase
{
    observing, ///< A small share goes to the new version.
    loaded,    ///< Few new upstreams get as much each as an old one.
    promoting, ///< All new work goes to the new version.
    completed,
    rolled_back, ///< Nothing goes to the new version.
};

/// What all nodes have to do for an order. Directives of one order are numbered
/// in the order of their decisions.
struct directive
{
    std::uint64_t number = 0;
    rollout::phase phase = phase::observing;
    /// Share of the requests that may go to the new version in the phases
    /// observing and loaded.
    double share = 0;
    /// Requests per second that may go to the new version in addition to the
    /// share, over all nodes; for services with few requests.
    double extra_per_second = 0;
    /// Number of new upstreams of the service that get requests in the phases
    /// observing and loaded.
    std::uint32_t upstreams = 0;

    auto operator==(const directive&) const -> bool = default;
};

/// Counts of durations in buckets of equal ratio.
class duration_histogram
{
public:
    static constexpr auto bucket_count = std::size_t(48);
    /// Upper bound of the first bucket, and the ratio of the bounds of two
    /// adjacent buckets. The last bucket has no upper bound.
    static constexpr auto first_bound = core::duration(core::milliseconds(1));
    static constexpr auto bound_ratio = 1.25;

    /// \return The bucket of a duration.
    [[nodiscard]] static auto bucket_of(core::duration value) -> std::size_t;

    auto record(core::duration value) -> void;
    auto add(std::size_t bucket, std::uint32_t count) -> void;
    [[nodiscard]] auto count_at(std::size_t bucket) const -> std::uint32_t;
    [[nodiscard]] auto total() const -> std::uint64_t;
    /// \return The upper bound of the bucket in which the quantile lies; zero
    ///         if there is no sample.
    /// \param share From 0 to 1.
    [[nodiscard]] auto quantile(double share) const -> core::duration;

    auto operator==(const duration_histogram&) const -> bool = default;

private:
    std::array<std::uint32_t, bucket_count> counts{};
};

/// Counts of the answers of one version on one route in one zone.
struct answer_counts
{
    /// Complete answers that the upstream ran, failures included.
    std::uint64_t answered = 0;
    /// Answers with a status of 500 or more that the upstream ran.
    std::uint64_t failed = 0;
    /// Durations of successful answers of upstreams that were not cold: the
    /// mean time between events of a stream of three events or more, otherwise
    /// the time from the send to the complete answer.
    duration_histogram durations;
    /// Time from the send to the end of all answers, which tells how long work
    /// that was sent lasts.
    duration_histogram lifetimes;

    auto operator==(const answer_counts&) const -> bool = default;
};

/// Which answers are counted together.
struct sample_key
{
    std::string route;
    /// Zone of the upstream.
    core::zone_name zone;
    /// Whether the upstream has the version of the order.
    bool is_new = false;

    auto operator==(const sample_key&) const -> bool = default;
    auto operator<=>(const sample_key&) const = default;
};

/// What a node has seen since it learned of an order. All counts are
/// cumulative, so that a report that is lost does no harm.
struct node_report
{
    core::node_id node;
    /// Distinguishes restarts of the node, which begin their counts anew.
    std::string incarnation;
    /// For how long the node has known the order.
    core::duration order_age{0};
    /// The directive that the node has applied; number 0 if none.
    directive applied;
    /// Requests and stage calls that the node has sent to the service, and
    /// those of them sent to the new version.
    std::uint64_t sent = 0;
    std::uint64_t sent_new = 0;
    /// Requests and stage calls that are open at old upstreams, and results of
    /// stages that are held there.
    std::uint32_t open_at_old = 0;
    std::map<sample_key, answer_counts> counts;

    auto operator==(const node_report&) const -> bool = default;
};

/// The upstreams of both versions that may get new work.
struct version_room
{
    std::uint32_t old_upstreams = 0;
    std::uint32_t new_upstreams = 0;
    std::uint32_t old_slots = 0;
    std::uint32_t new_slots = 0;

    auto operator==(const version_room&) const -> bool = default;
};

/// Bounds that the users set for rollouts.
struct exposure_limits
{
    /// Largest share of the service's requests that a version may get between
    /// the order and its deadline if it turns out to be bad.
    double share = 0;
    /// Requests in addition to the share.
    double slack = 0;

    auto operator==(const exposure_limits&) const -> bool = default;
};

} // namespace almondtiller::rollout
