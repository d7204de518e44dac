#pragma once

#include "core/clock.h"
#include "dispatch/output_cost.h"
#include "dispatch/prefill_speed.h"
#include "dispatch/prefix_cache.h"
#include "dispatch/rate_limit.h"
#include "dispatch/request_pacer.h"
#include "dispatch/retry_budget.h"
#include "dispatch/serving_state.h"
#include "dispatch/version_rules.h"
#include "fairness/fair_queue_order.h"
#include "routing/outlier_detector.h"
#include "serving/request.h"
#include "upstream_speed/service_speeds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::dispatch {

/// Total size of the inputs of a request that are held in one zone.
struct zone_bytes
{
    core::zone_name zone;
    std::uint64_t bytes = 0;

    auto operator==(const zone_bytes&) const -> bool = default;
};

/// A request to be placed on an upstream.
struct placement_request
{
    std::uint64_t ticket = 0;
    core::request_id request;
    /// Zone whose shard of the service places the request; empty: any.
    core::zone_name zone;
    std::vector<serving::prompt_part> prompt;
    std::uint32_t output_tokens = 0;
    std::vector<zone_bytes> inputs;
    /// Upstreams that have failed or rejected the request.
    std::vector<core::upstream_id> excluded;
    /// An answer that begins after this time is late.
    core::time_point due;
    core::time_point deadline;
    /// 0 is the most urgent.
    int priority = 0;
    /// Whether the request was sent to an upstream before.
    bool is_retry = false;
    /// Empty if the route requires no API key.
    core::workspace_name workspace;
    /// Weight of the workspace when capacity is scarce; greater than 0.
    double weight = 1;
};

enum class placement_status
{
    granted,
    rejected,               ///< No upstream can serve the request in time.
    retry_budget_exhausted, ///< The retry budget is exhausted.
    too_large, ///< The request needs more memory than an upstream has.
};

struct placement_outcome
{
    std::uint64_t ticket = 0;
    placement_status status = placement_status::granted;
    serving::upstream upstream;
    core::milliseconds retry_after{0};
    /// The request limit of the upstream in requests per second; empty if it
    /// states none.
    std::optional<double> request_limit;

    auto operator==(const placement_outcome&) const -> bool = default;
};

/// How an attempt at an upstream has ended.
enum class attempt_end
{
    completed,
    failed,    ///< No answer, an incomplete one or a timeout.
    rejected,  ///< The upstream was full and rejected the request.
    cancelled, ///< The caller disconnected or the deadline passed.
};

struct placement_limits
{
    double retry_ratio = 0.2;
    /// Retries per window in addition to the ratio.
    double retry_allowance = 0;
    core::duration retry_window = std::chrono::seconds(10);
    double cold_factor = 1.0;
    double cold_extra = 0;
    /// Whether workspaces share scarce capacity by weight.
    bool has_fair_sharing = false;

    auto operator==(const placement_limits&) const -> bool = default;
};

/// Assigns the requests of a service to its upstreams. Load pattern: a burst of
/// long prompts while upstreams are lost, where sends that are based on
/// outdated load reports pile up at one upstream. One node places the requests
/// of all nodes, so that it has a record of every send. It weighs the prompts
/// queued at an upstream, the shared prompt parts that the upstream has cached,
/// and the bytes that would cross zones.
class placement
{
public:
    placement(serving::service service, placement_limits limits);

    auto set_service(const serving::service& service) -> void;
    /// Sets rules for the versions of upstreams; without them, a request may go
    /// to any upstream.
    auto set_version_rules(version_rules rules) -> void;
    /// Sets how many retries per window are allowed in addition to the ratio.
    auto set_retry_allowance(double allowance) -> void;
    /// An upstream that was not in the last call may have received requests of
    /// another owner until \a now.
    auto set_upstreams(const std::vector<known_upstream>& upstreams,
                       core::time_point now) -> void;

    /// Queues a request; next() returns its outcome.
    auto submit(placement_request request, core::time_point now) -> void;
    auto cancel(std::uint64_t ticket) -> void;

    /// \return The outcomes that can be decided now; other requests stay
    ///         queued.
    auto next(core::time_point now) -> std::vector<placement_outcome>;

    /// Records a request that another node placed when it owned the service.
    /// The upstream may be one that is not usable at present.
    auto adopt(const placement_request& request,
               const core::upstream_id& chosen_upstream, core::time_point now)
        -> void;

    /// The upstream has sent the first event of its answer. Its own statement
    /// of its speed, if any, is recorded before.
    auto on_started(std::uint64_t ticket, core::time_point now) -> void;
    auto on_ended(std::uint64_t ticket, attempt_end how, core::time_point now)
        -> void;
    /// The events of an answer came at this mean interval; called before
    /// on_ended().
    auto on_event_time(std::uint64_t ticket, core::duration mean,
                       core::time_point now) -> void;

    /// \return The speeds of the upstreams, which count once enabled.
    auto upstream_speeds() -> upstream_speed::service_speeds&;

    [[nodiscard]] auto waiting() const -> std::size_t;

    /// \return The estimate of how fast the upstreams read prompts.
    [[nodiscard]] auto speed() const -> const prefill_speed&;

    /// \return What a workspace gets at a priority; nothing unless workspaces
    ///         share the capacity.
    [[nodiscard]] auto share_of(const core::workspace_name& workspace,
                                int priority, core::time_point now) const
        -> std::optional<fairness::workspace_share>;

private:
    /// The window for which the rate of a cold upstream holds.
    static constexpr auto cold_window = std::chrono::seconds(1);

    /// A queued request with the values that each comparison of upstreams
    /// needs.
    struct waiting_request
    {
        placement_request request;
        std::vector<hashed_prompt_part> prompt;
        /// Rendezvous hash key that breaks ties between upstreams.
        std::uint64_t tie_break_key = 0;
        std::uint64_t kv_tokens = 0;
        /// Set if workspaces share the capacity.
        fairness::fair_queue_order::flow_ref flow;
        double expected_cost = 1;
        bool is_advanced = false;
        bool is_late = false;
    };
    struct running_request
    {
        core::upstream_id upstream;
        /// Start of the instance that counts the request; empty if none does.
        std::optional<std::int64_t> instance;
        /// Prompt tokens that the upstream has to read for the request.
        double prefill_tokens = 0;
        /// prefill_tokens plus the tokens of the requests queued before it.
        double tokens_before_start = 0;
        std::uint64_t kv_tokens = 0;
        core::time_point placed_at;
        /// Quick part of the upstream's speed when the request was placed.
        double quick_part = 1.0;
        core::time_point started_at;
        std::uint32_t output_tokens = 0;
        bool has_started = false;
        bool is_adopted = false;
    };
    struct upstream_state
    {
        known_upstream known;
        std::uint64_t id_hash = 0;
        std::uint32_t in_flight = 0;
        std::uint64_t kv_tokens = 0;
        /// Prompt tokens that are queued or being read.
        double prefill_tokens = 0;
        prefix_cache cache;
        rate_limit send_rate{cold_window};
        /// Since when this placement has a record of every send.
        core::time_point known_since;
        request_pacer pacer;
        routing::outlier_detector health;
        core::time_point blocked_until;
        std::size_t speed_index = 0;
    };

    struct wait_decision
    {
        bool can_wait = false;
        /// If it cannot: when its caller should retry.
        core::milliseconds retry_after{0};
    };

    [[nodiscard]] static auto prepare(placement_request request)
        -> waiting_request;
    /// \return How many requests may be sent to a cold upstream in a window.
    [[nodiscard]] auto cold_sends(const upstream_state& state,
                                  core::time_point now) const -> std::size_t;
    /// \return Whether the upstream can take another request now.
    [[nodiscard]] auto is_available(upstream_state& state, core::time_point now)
        -> bool;
    [[nodiscard]] auto available_upstreams(core::time_point now)
        -> std::vector<upstream_state*>;
    /// \return Whether an upstream may serve the request, now or once it has
    ///         room.
    [[nodiscard]] auto has_candidate(const placement_request& request) const
        -> bool;
    /// \return The time until a request with \a ahead others before it may be
    ///         sent, if all upstreams that may serve it limit their rate;
    ///         nothing if another one may have room sooner.
    [[nodiscard]] auto paced_wait(const placement_request& request,
                                  std::size_t ahead, core::time_point now) const
        -> std::optional<core::duration>;
    /// \return Whether a request for which no upstream is available may wait
    ///         with \a ahead others before it.
    [[nodiscard]] auto decide_wait(const placement_request& request,
                                   std::size_t ahead,
                                   core::time_point now) const -> wait_decision;
    /// \return Whether a request of this size fits into \a used tokens of an
    ///         upstream's memory; true if its size is not known.
    [[nodiscard]] auto fits(std::uint64_t used, std::uint64_t kv_tokens) const
        -> bool;
    [[nodiscard]] auto is_eligible(const upstream_state& state,
                                   const waiting_request& waiting) const
        -> bool;
    [[nodiscard]] auto cost(const upstream_state& state,
                            const waiting_request& waiting,
                            core::time_point now) const -> double;
    /// \return The part of the cost for the time between events.
    [[nodiscard]] auto event_cost(const upstream_state& state,
                                  const placement_request& request) const
        -> double;
    /// \return Least time, in milliseconds, that an idle upstream needs.
    [[nodiscard]] auto min_service_ms(const placement_request& request) const
        -> double;
    [[nodiscard]] auto choose(const std::vector<upstream_state*>& available,
                              const waiting_request& waiting,
                              core::time_point now) const -> upstream_state*;
    /// Like choose(), under the version rules for the next request.
    [[nodiscard]] auto
    choose_by_version(const std::vector<upstream_state*>& available,
                      const waiting_request& waiting, core::time_point now)
        -> upstream_state*;
    /// \return Whether the version rules for the request that is being decided
    ///         admit the upstream.
    [[nodiscard]] auto is_admitted(const core::upstream_id& upstream) const
        -> bool;
    auto record_version(const upstream_state& state, core::time_point now)
        -> void;
    auto place(const waiting_request& waiting, upstream_state& state,
               core::time_point now) -> void;
    /// Counts the requests that still run at an upstream that has become usable
    /// again. Without this, the upstream would get more than its memory holds.
    auto restore_running(upstream_state& state) -> void;
    /// Begins to track the speeds of new upstreams.
    auto track_speeds() -> void;
    /// Records the time to the first event of a request.
    auto record_start(const running_request& run, core::time_point now) -> void;
    /// Removes the prompt of a request from its upstream's backlog after it has
    /// been read or its attempt has ended.
    auto finish_prefill(running_request& run) -> void;
    auto sort_queue(core::time_point now) -> void;
    /// Sets the flow and the expected cost of a request that begins to wait.
    auto join_flow(waiting_request& waiting, core::time_point now) -> void;
    auto sort_queue_by_share(core::time_point now) -> void;
    /// \return The cost of a request in prompt tokens that an upstream reads.
    [[nodiscard]] auto request_cost(const placement_request& request,
                                    double prompt_tokens) const -> double;
    /// Records that a request has left the queue, and its cost if it was
    /// granted an upstream.
    auto leave_flow(const waiting_request& waiting, placement_status status,
                    core::time_point now) -> void;

    serving::service service;
    placement_limits limits;
    retry_budget retries;
    prefill_speed prefill;
    upstream_speed::service_speeds speeds;
    /// Mean time between the events of an answer, in milliseconds.
    double event_ms = 0;
    std::uint64_t event_samples = 0;
    output_cost output;
    std::optional<fairness::fair_queue_order> order;
    std::map<core::upstream_id, upstream_state> upstreams;
    std::map<std::uint64_t, running_request> running;
    std::vector<waiting_request> queue;
    version_rules versions;
    /// Rules for the request that is being decided.
    std::vector<upstream_rule> current_rules;
};

} // namespace almondtiller::dispatch
