#pragma once

#include "routing/cold_sign.h"
#include "routing/cold_slots.h"
#include "routing/work.h"
#include "settings/effective.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace almondtiller::routing {

/// Decides for one pool at one node which attempt goes to which upstream.
/// Every submitted attempt gets exactly one dispatch or refusal; every
/// dispatched attempt must be finished exactly once.
class pool_scheduler
{
public:
    /// \param local_zone The zone of this node.
    /// \param seed Seeds the random choices.
    pool_scheduler(const settings::pool_settings& settings,
                   core::zone_name local_zone, std::uint64_t seed);
    ~pool_scheduler();
    pool_scheduler(pool_scheduler&&) noexcept;
    auto operator=(pool_scheduler&&) noexcept -> pool_scheduler&;

    auto configure(const settings::pool_settings& settings,
                   core::time_point now) -> actions;
    auto set_members(const std::vector<upstream_member>& members,
                     core::time_point now) -> actions;
    auto submit(work submitted, core::time_point now) -> actions;

    /// Gives up an attempt that still waits. No effect after its dispatch.
    auto withdraw(const core::attempt_id& id, core::time_point now) -> actions;
    auto finish(const attempt_result& result, core::time_point now) -> actions;
    auto report_load(const load_report& report, core::time_point now)
        -> actions;
    auto note_cache(const cache_hint& hint) -> void;

    /// Replaces the slots that this node has at a cold upstream.
    auto grant_cold_slots(const cold_grant& grant, core::time_point now)
        -> actions;

    /// There will be no slots of a cold upstream for \a retry_after. Work
    /// that cannot wait so long is refused.
    auto deny_cold_slots(const core::upstream_id& id,
                         core::duration retry_after, core::time_point now)
        -> actions;

    /// Takes over that another node saw an upstream turn cold.
    auto note_cold_sign(const cold_sign& sign, core::time_point now) -> actions;

    /// \return The upstreams that turned cold by what this node saw since the
    ///         last call; for its peers.
    [[nodiscard]] auto take_cold_signs() -> std::vector<cold_sign>;

    /// Handles everything that time alone brings: expired work and grants.
    auto advance(core::time_point now) -> actions;

    /// \return When advance() has something to do, if ever.
    [[nodiscard]] auto next_timer() const -> std::optional<core::time_point>;

    /// \return The upstreams that are cold and for which slots are wanted,
    ///         with the number of attempts that could use them.
    [[nodiscard]] auto cold_demand() const
        -> std::map<core::upstream_id, std::uint32_t>;

    /// \return Every cold upstream, those without demand included.
    [[nodiscard]] auto cold_upstreams(core::time_point now) const
        -> std::vector<cold_upstream>;

    /// \return The estimated duration of an attempt at a quantile; zero when
    ///         nothing was observed yet.
    [[nodiscard]] auto estimate(double quantile) const -> core::duration;

    /// \return How long to wait before a slow attempt is hedged; nothing
    ///         while too little is known or the budget is spent.
    [[nodiscard]] auto hedge_delay() const -> std::optional<core::duration>;

    /// \return Attempts that wait.
    [[nodiscard]] auto queued() const -> std::size_t;

    [[nodiscard]] auto status(core::time_point now) const
        -> std::vector<upstream_status>;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::routing
