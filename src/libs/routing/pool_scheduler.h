#pragma once

#include "routing/attempt_request.h"
#include "routing/cold_notification.h"
#include "routing/cold_slots.h"
#include "settings/effective.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace almondtiller::routing {

/// Assigns the attempts for one pool at one node to upstreams. Every submitted
/// attempt gets exactly one dispatch or rejection. The caller must call
/// finish() exactly once for every dispatched attempt.
class pool_scheduler
{
public:
    /// \param local_zone The availability zone of this node.
    /// \param seed Seed of the random choices.
    pool_scheduler(const settings::pool_settings& settings,
                   core::zone_name local_zone, std::uint64_t seed);
    ~pool_scheduler();
    pool_scheduler(pool_scheduler&&) noexcept;
    auto operator=(pool_scheduler&&) noexcept -> pool_scheduler&;

    auto configure(const settings::pool_settings& settings,
                   core::time_point now) -> actions;
    auto set_members(const std::vector<upstream_member>& members,
                     core::time_point now) -> actions;
    auto submit(attempt_request submitted, core::time_point now) -> actions;

    /// Cancels an attempt that is still queued. No effect after its dispatch.
    auto cancel(const core::attempt_id& id, core::time_point now) -> actions;
    auto finish(const attempt_result& result, core::time_point now) -> actions;
    auto report_load(const load_report& report, core::time_point now)
        -> actions;
    auto apply_cache_hint(const cache_hint& hint) -> void;

    /// Replaces the slots that this node holds at a cold upstream.
    auto grant_cold_slots(const cold_grant& grant, core::time_point now)
        -> actions;

    /// No slots of a cold upstream will be available for \a retry_after.
    /// Attempts that cannot wait that long are rejected unless another upstream
    /// may serve them.
    auto deny_cold_slots(const core::upstream_id& id,
                         core::duration retry_after, core::time_point now)
        -> actions;

    /// Handles another node's notification that an upstream turned cold.
    auto apply_cold_notification(const cold_notification& notification,
                                 core::time_point now) -> actions;

    /// \return Notifications for this node's peers: the upstreams that turned
    ///         cold by this node's own observations since the last call.
    [[nodiscard]] auto take_cold_notifications()
        -> std::vector<cold_notification>;

    /// Handles whatever depends on the time alone: expired attempts and
    /// grants, probes of ejected upstreams.
    auto advance(core::time_point now) -> actions;

    /// \return When advance() must be called next; empty when nothing is
    ///         queued.
    [[nodiscard]] auto next_timer() const -> std::optional<core::time_point>;

    /// \return The cold upstreams for which this node needs slots, with the
    ///         number of slots that it could use.
    [[nodiscard]] auto cold_demand() const
        -> std::map<core::upstream_id, std::uint32_t>;

    /// \return Every cold upstream, including those without demand.
    [[nodiscard]] auto cold_upstreams(core::time_point now) const
        -> std::vector<cold_upstream>;

    /// \param quantile In [0, 1].
    /// \return The estimated latency of an attempt at that quantile; zero when
    ///         there are no recent observations.
    [[nodiscard]] auto estimate(double quantile) const -> core::duration;

    /// \return How long to wait before a slow attempt is hedged; empty while
    ///         there are too few observations or a budget is spent.
    [[nodiscard]] auto hedge_delay() const -> std::optional<core::duration>;

    /// \return The number of queued attempts.
    [[nodiscard]] auto queued() const -> std::size_t;

    [[nodiscard]] auto status(core::time_point now) const
        -> std::vector<upstream_status>;

private:
    struct state;
    std::unique_ptr<state> impl;
};

} // namespace almondtiller::routing
