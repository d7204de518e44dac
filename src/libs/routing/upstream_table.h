#pragma once

#include "core/random.h"
#include "routing/attempt_request.h"
#include "routing/cold_slots.h"
#include "routing/concurrency_limit.h"
#include "routing/outlier_detector.h"
#include "routing/upstream_picker.h"
#include "routing/upstream_temperature.h"
#include "settings/effective.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondtiller::routing {

/// The state of each upstream of a pool: its limits, temperature, health and
/// slots. Chooses the upstream for each attempt.
class upstream_table
{
public:
    /// Sums over the upstreams of the pool.
    struct totals
    {
        std::uint32_t accepting = 0; ///< Upstreams that accept work.
        std::uint32_t warm = 0;      ///< Accepting, warm and not ejected.
        std::uint32_t cold_slots = 0;
        std::uint32_t in_flight = 0;
        double capacity = 0.0; ///< Maximum number of attempts in flight.
        /// The earliest time at which a cold upstream may get slots; empty
        /// when no upstream is cold.
        std::optional<core::time_point> next_cold_slot;
    };

    upstream_table(settings::pool_settings settings, core::zone_name local_zone,
                   std::uint64_t seed);

    auto configure(settings::pool_settings settings) -> void;
    auto set_members(const std::vector<upstream_member>& members) -> void;

    /// \param typical_latency Typical latency of the pool; zero while unknown.
    /// \return Empty when no upstream has free capacity for the attempt.
    [[nodiscard]] auto choose(const attempt_request& item,
                              core::duration typical_latency,
                              core::time_point now) -> std::optional<dispatch>;
    auto on_dispatch(const core::upstream_id& id) -> void;

    /// \param median Median latency of the pool; zero while unknown.
    auto on_finish(const attempt_result& result, core::duration median,
                   core::time_point now) -> void;
    auto on_report(const load_report& report, core::time_point now) -> void;
    auto apply_notification(const cold_notification& notification,
                            core::time_point now) -> void;

    /// \return The upstreams that turned cold by this node's own
    ///         observations since the last call.
    [[nodiscard]] auto take_notifications() -> std::vector<cold_notification>;
    auto on_cache_hint(const cache_hint& hint) -> void;
    auto on_grant(const cold_grant& grant) -> void;

    /// No slots of a cold upstream will be available before \a until.
    auto on_denial(const core::upstream_id& id, core::time_point until) -> void;

    [[nodiscard]] auto summary(core::time_point now) const -> const totals&;

    /// \param wanted Number of slots that could be used at each upstream.
    [[nodiscard]] auto cold_upstreams(std::uint32_t wanted,
                                      core::time_point now) const
        -> std::vector<cold_upstream>;

    /// \return One row per accepting upstream, in the order of set_members().
    [[nodiscard]] auto status(core::time_point now) const
        -> std::vector<upstream_status>;

    /// \return When the next ejected upstream may be probed; empty when none is
    ///         ejected.
    [[nodiscard]] auto next_probe() const -> std::optional<core::time_point>;

private:
    struct upstream_entry
    {
        upstream_entry(upstream_member member,
                       const settings::pool_settings& settings);

        upstream_member member;
        bool is_listed = true;
        std::uint32_t in_flight = 0;
        concurrency_limit limit;
        upstream_temperature temperature;
        outlier_detector outlier;
        cold_grant grant;
        core::time_point denied_until = core::time_point::min();
        /// Attempts of other nodes, capacity and time of the last load report.
        double others_in_flight = 0.0;
        double reported_capacity = 0.0;
        core::time_point reported_at = core::time_point::min();
    };

    [[nodiscard]] auto allowed_in_flight(const upstream_entry& entry,
                                         core::time_point now) const
        -> std::uint32_t;
    [[nodiscard]] auto granted_slots(const upstream_entry& entry,
                                     core::time_point now) const
        -> std::uint32_t;
    [[nodiscard]] auto utilisation(const upstream_entry& entry,
                                   core::time_point now) const
        -> std::optional<double>;
    [[nodiscard]] auto summarize(core::time_point now) const -> totals;
    auto update_health(upstream_entry& updated, const attempt_result& result,
                       core::duration median, core::time_point now) -> void;
    auto record_temperature_change(const upstream_entry& changed, bool was_cold,
                                   core::time_point now) -> void;
    auto reset_after_restart(upstream_entry& restarted) -> void;
    [[nodiscard]] auto may_eject() const -> bool;
    auto find(const core::upstream_id& id) -> upstream_entry*;

    settings::pool_settings settings;
    core::zone_name local_zone;
    core::random_source random;
    upstream_picker picker;
    std::unordered_map<core::upstream_id, std::unique_ptr<upstream_entry>>
        entries;
    std::vector<upstream_entry*> active;
    std::vector<cold_notification> notifications;
    mutable totals cached_totals;
    mutable core::time_point cached_at = core::time_point::min();
    mutable bool is_stale = true;
};

} // namespace almondtiller::routing
