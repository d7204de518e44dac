#pragma once

#include "rollout/report.h"
#include "serving/upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace almondtiller::rollout {

class attempt_record;

/// What this node has sent to upstreams and how they have answered: open work
/// by version at any time, and counts for the orders that are carried out. Load
/// pattern: work that was sent before a node learned of an order still runs at
/// old upstreams when the order is about to complete.
class traffic_counts : public std::enable_shared_from_this<traffic_counts>
{
public:
    /// Counts of a service since its order became known.
    struct order_counts
    {
        rollout::order order;
        std::uint64_t sent = 0;
        std::uint64_t sent_new = 0;
        std::map<sample_key, answer_counts> counts;

        auto operator==(const order_counts&) const -> bool = default;
    };

    /// \param on_bad_answer Called for an answer of the new version that failed
    ///        or was slow; may be empty.
    explicit traffic_counts(
        std::function<void(const serving::service_name&)> on_bad_answer);

    auto
    set_bad_answer_hook(std::function<void(const serving::service_name&)> hook)
        -> void;

    /// Begins to count for an order, unless that has begun.
    auto track(const rollout::order& started) -> void;
    auto remove(const serving::service_name& service) -> void;

    /// \return The counts of the service's order; nullptr if there is none.
    [[nodiscard]] auto find(const serving::service_name& service) const
        -> const order_counts*;

    /// \return Requests and stage calls that are open at upstreams of other
    ///         versions than the order's.
    [[nodiscard]] auto open_at_old(const rollout::order& current) const
        -> std::uint32_t;

    /// Records the send of a request or stage call.
    /// \param is_cold Whether the durations of its answer say nothing.
    /// \return The record of the attempt, which is open until it is destroyed.
    [[nodiscard]] auto begin(const serving::upstream& upstream,
                             std::string route, bool is_cold,
                             core::time_point now)
        -> std::shared_ptr<attempt_record>;

private:
    friend class attempt_record;

    struct open_key
    {
        serving::service_name service;
        std::string version;

        auto operator<=>(const open_key&) const = default;
    };
    struct finished_attempt
    {
        rollout::order order;
        sample_key key;
        bool has_failed = false;
        /// Empty if the duration says nothing about the version.
        std::optional<core::duration> duration;
        core::duration lifetime{0};
    };

    auto close(const open_key& key) -> void;
    auto record(const finished_attempt& attempt) -> void;
    [[nodiscard]] static auto is_slow(const order_counts& known,
                                      const finished_attempt& attempt) -> bool;

    std::function<void(const serving::service_name&)> notify_bad;
    std::map<open_key, std::uint32_t> open;
    std::map<serving::service_name, order_counts> orders;
};

/// A request or stage call at an upstream, from its send to its end.
class attempt_record
{
public:
    attempt_record(std::shared_ptr<traffic_counts> owner,
                   const serving::upstream& sent_to,
                   std::optional<rollout::order> current, sample_key sample,
                   bool is_cold, core::time_point now);
    ~attempt_record();
    attempt_record(const attempt_record&) = delete;
    auto operator=(const attempt_record&) -> attempt_record& = delete;

    /// Events of a stream have arrived.
    auto on_events(std::uint64_t count, core::time_point now) -> void;

    /// The answer is complete. Answers of requests that were not run must not
    /// be recorded.
    auto on_answer(int status, core::time_point now) -> void;

    /// The attempt is given up because it takes too long; its time so far is a
    /// lower bound of its duration.
    auto on_given_up(core::time_point now) -> void;

private:
    /// \return The mean time between events for a stream of three or more,
    ///         otherwise the time since the send.
    [[nodiscard]] auto duration_at(core::time_point now) const
        -> core::duration;
    /// \param least Lower bound of the duration.
    auto finish(bool has_failed, core::time_point now,
                core::duration least = core::duration(0)) -> void;

    std::shared_ptr<traffic_counts> counts;
    traffic_counts::open_key open_as;
    std::optional<rollout::order> order;
    sample_key key;
    bool is_cold = false;
    core::time_point sent_at;
    std::uint64_t events = 0;
    core::time_point first_event;
    core::time_point last_event;
    bool is_recorded = false;
};

} // namespace almondtiller::rollout
