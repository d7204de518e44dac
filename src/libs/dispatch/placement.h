#pragma once

#include "core/clock.h"
#include "dispatch/prefill_speed.h"
#include "dispatch/prefix_cache.h"
#include "dispatch/rate_limit.h"
#include "dispatch/repeat_budget.h"
#include "dispatch/serving_state.h"
#include "routing/outlier_detector.h"
#include "serving/request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::dispatch {

/// Results that a request takes, by the zone that holds them.
struct zone_bytes
{
    core::zone_name zone;
    std::uint64_t bytes = 0;

    auto operator==(const zone_bytes&) const -> bool = default;
};

/// A request that needs an upstream.
struct placement_request
{
    std::uint64_t ticket = 0;
    core::request_id request;
    /// Whose shard of the service places it; empty: any.
    core::zone_name zone;
    std::vector<serving::prompt_part> prompt;
    std::uint32_t output_tokens = 0;
    std::vector<zone_bytes> inputs;
    /// Upstreams that have failed it.
    std::vector<core::upstream_id> excluded;
    core::time_point due;
    core::time_point deadline;
    /// 0 is the most urgent.
    int priority = 0;
    /// The request was sent to an upstream before.
    bool is_repeat = false;
};

enum class placement_status
{
    granted,
    refused,       ///< Can't be served in time.
    out_of_budget, ///< The budget of repeats is spent.
};

struct placement_outcome
{
    std::uint64_t ticket = 0;
    placement_status status = placement_status::granted;
    serving::upstream upstream;
    core::milliseconds retry_after{0};

    auto operator==(const placement_outcome&) const -> bool = default;
};

/// How a request has ended at its upstream.
enum class work_end
{
    completed,
    failed,      ///< No answer, a broken one or none in time.
    turned_away, ///< The upstream was full.
    given_up,    ///< The caller left, or the time was over.
};

struct placement_limits
{
    double retry_ratio = 0.2;
    /// Repeats in a window beside the ratio.
    double retry_extra = 0;
    core::duration retry_window = std::chrono::seconds(10);
    double cold_factor = 1.0;
    double cold_extra = 0;

    auto operator==(const placement_limits&) const -> bool = default;
};

/// Decides which upstream of a service gets which request. Load pattern: a
/// burst of long prompts beside lost upstreams, where sends on stale reports
/// pile up at one upstream. One node places for all, so that it knows every
/// send; it weighs the prompts that wait at an upstream, the shared parts
/// that the upstream still has, and the bytes that would cross zones.
class placement
{
public:
    placement(serving::service service, placement_limits limits);

    auto set_service(const serving::service& service) -> void;
    /// Changes how many repeats a window may have beside the ratio.
    auto set_retry_extra(double extra) -> void;
    auto set_upstreams(const std::vector<known_upstream>& upstreams) -> void;

    /// Takes a request; its outcome comes from next().
    auto submit(placement_request request, core::time_point now) -> void;
    auto cancel(std::uint64_t ticket) -> void;

    /// \return What can be decided now.
    auto next(core::time_point now) -> std::vector<placement_outcome>;

    /// A request was placed by another node that owned the service before.
    auto adopt(const placement_request& request, const core::upstream_id& at,
               core::time_point now) -> void;

    /// The upstream has begun to answer.
    auto on_started(std::uint64_t ticket, core::time_point now) -> void;
    auto on_ended(std::uint64_t ticket, work_end how, core::time_point now)
        -> void;

    [[nodiscard]] auto waiting() const -> std::size_t;

    /// \return What is known of how fast the upstreams read prompts.
    [[nodiscard]] auto speed() const -> const prefill_speed&;

private:
    /// A request that waits, with what each comparison of upstreams takes.
    struct waiting_request
    {
        placement_request request;
        std::vector<prompt_key> prompt;
        /// Spreads keys over upstreams that are equal otherwise.
        std::uint64_t key = 0;
        std::uint64_t kv_tokens = 0;
    };
    struct running
    {
        core::upstream_id upstream;
        /// Prompt tokens that the upstream reads for it.
        double prefill_tokens = 0;
        /// The same, and those of requests before it.
        double tokens_until_start = 0;
        std::uint64_t kv_tokens = 0;
        core::time_point placed;
        bool started = false;
        bool is_adopted = false;
    };
    struct upstream_state
    {
        known_upstream known;
        std::uint64_t hash = 0;
        std::uint32_t in_flight = 0;
        std::uint64_t kv_tokens = 0;
        /// Prompts that wait or are being read.
        double prefill_tokens = 0;
        prefix_cache cache;
        rate_limit sends{std::chrono::seconds(1)};
        routing::outlier_detector health;
        core::time_point blocked_until;
    };

    [[nodiscard]] static auto prepare(placement_request request)
        -> waiting_request;
    /// \return Whether it takes any request at all now.
    [[nodiscard]] auto is_open(upstream_state& state, core::time_point now)
        -> bool;
    [[nodiscard]] auto open_upstreams(core::time_point now)
        -> std::vector<upstream_state*>;
    /// \return Whether an upstream may serve it, now or once it has room.
    [[nodiscard]] auto has_candidate(const placement_request& request) const
        -> bool;
    [[nodiscard]] auto fits(const upstream_state& state,
                            const waiting_request& waiting) const -> bool;
    [[nodiscard]] auto cost(const upstream_state& state,
                            const waiting_request& waiting,
                            core::time_point now) const -> double;
    /// \return Milliseconds that an idle upstream takes at least.
    [[nodiscard]] auto least_ms(const placement_request& request) const
        -> double;
    [[nodiscard]] auto choose(const std::vector<upstream_state*>& open,
                              const waiting_request& waiting,
                              core::time_point now) const -> upstream_state*;
    auto place(const waiting_request& waiting, upstream_state& state,
               core::time_point now) -> void;
    /// The upstream has read the prompt, or won't.
    auto end_reading(running& run) -> void;
    auto sort_queue(core::time_point now) -> void;

    serving::service service;
    placement_limits limits;
    repeat_budget repeats;
    prefill_speed reading;
    std::map<core::upstream_id, upstream_state> upstreams;
    std::map<std::uint64_t, running> placed;
    std::vector<waiting_request> queue;
};

} // namespace almondtiller::dispatch
