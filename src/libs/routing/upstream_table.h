#pragma once

#include "core/random.h"
#include "routing/cold_slots.h"
#include "routing/concurrency_limit.h"
#include "routing/outlier_detector.h"
#include "routing/upstream_picker.h"
#include "routing/upstream_temperature.h"
#include "routing/work.h"
#include "settings/effective.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondtiller::routing {

/// Everything that a pool's scheduler knows of each upstream: what it may get
/// and which of them gets an attempt.
class upstream_table
{
public:
    /// How the pool as a whole stands.
    struct totals
    {
        std::uint32_t accepting = 0; ///< Upstreams that may get work.
        std::uint32_t warm = 0;      ///< Of these, warm and not ejected.
        std::uint32_t cold_slots = 0;
        std::uint32_t in_flight = 0;
        double capacity = 0.0; ///< Attempts in flight, at most.
        /// When a cold upstream may get slots, at the earliest.
        std::optional<core::time_point> next_cold_slot;
    };

    upstream_table(settings::pool_settings settings, core::zone_name local_zone,
                   std::uint64_t seed);

    auto configure(settings::pool_settings settings) -> void;
    auto set_members(const std::vector<upstream_member>& members) -> void;

    /// \param typical Usual latency of the pool; zero while unknown.
    [[nodiscard]] auto choose(const work& wanted, core::duration typical,
                              core::time_point now) -> std::optional<dispatch>;
    auto on_dispatch(const core::upstream_id& id) -> void;

    /// \param median Median latency of the pool; zero while unknown.
    auto on_finish(const attempt_result& result, core::duration median,
                   core::time_point now) -> void;
    auto on_report(const load_report& report, core::time_point now) -> void;
    auto on_sign(const cold_sign& sign, core::time_point now) -> void;

    /// \return The upstreams that turned cold by this node's own
    ///         observations since the last call.
    [[nodiscard]] auto take_signs() -> std::vector<cold_sign>;
    auto on_cache_hint(const cache_hint& hint) -> void;
    auto on_grant(const cold_grant& grant) -> void;

    /// No slots of a cold upstream before \a until.
    auto on_denial(const core::upstream_id& id, core::time_point until) -> void;

    [[nodiscard]] auto summary(core::time_point now) const -> const totals&;

    /// \param wanted Slots that could be used at each.
    [[nodiscard]] auto cold_upstreams(std::uint32_t wanted,
                                      core::time_point now) const
        -> std::vector<cold_upstream>;

    /// \return One row an upstream, in the order of set_members().
    [[nodiscard]] auto status(core::time_point now) const
        -> std::vector<upstream_status>;

    /// \return When an ejected upstream may be probed, if any is ejected.
    [[nodiscard]] auto next_probe() const -> std::optional<core::time_point>;

private:
    struct entry
    {
        entry(upstream_member member, const settings::pool_settings& settings);

        upstream_member member;
        bool is_listed = true;
        std::uint32_t in_flight = 0;
        concurrency_limit limit;
        upstream_temperature temperature;
        outlier_detector outlier;
        cold_grant grant;
        core::time_point denied_until = core::time_point::min();
        /// Attempts of others in the last report, and its time and capacity.
        double others = 0.0;
        double reported_capacity = 0.0;
        core::time_point sampled = core::time_point::min();
    };

    [[nodiscard]] auto allowed(const entry& of, core::time_point now) const
        -> std::uint32_t;
    [[nodiscard]] auto slots(const entry& of, core::time_point now) const
        -> std::uint32_t;
    [[nodiscard]] auto utilisation(const entry& of, core::time_point now) const
        -> std::optional<double>;
    [[nodiscard]] auto summarize(core::time_point now) const -> totals;
    auto judge(entry& judged, const attempt_result& result,
               core::duration median, core::time_point now) -> void;
    auto note_change(const entry& changed, bool was_cold, core::time_point now)
        -> void;
    auto forget_incarnation(entry& restarted) -> void;
    [[nodiscard]] auto may_eject() const -> bool;
    auto find(const core::upstream_id& id) -> entry*;

    settings::pool_settings settings;
    core::zone_name local_zone;
    core::random_source random;
    upstream_picker picker;
    std::unordered_map<core::upstream_id, std::unique_ptr<entry>> entries;
    std::vector<entry*> active;
    std::vector<cold_sign> signs;
    mutable totals cached;
    mutable core::time_point cached_at = core::time_point::min();
    mutable bool stale = true;
};

} // namespace almondtiller::routing
