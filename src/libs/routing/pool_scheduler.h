#pragma once

#include "routing/work.h"
#include "settings/effective.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace almondtiller::routing {

/// Slots of a cold upstream that this node may use until they expire.
struct cold_grant
{
    core::upstream_id id;
    std::string incarnation;
    std::uint32_t slots = 0;
    core::time_point expires;

    auto operator==(const cold_grant&) const -> bool = default;
};

/// Decides for one pool at one node which attempt goes to which upstream.
/// Every submitted attempt gets exactly one dispatch or refusal; every
/// dispatched attempt must be finished exactly once.
class pool_scheduler
{
public:
    /// \param local_zone The zone of this node.
    /// \param seed Seeds the random choices.
    pool_scheduler(settings::pool_settings settings, core::zone_name local_zone,
                   std::uint64_t seed);
    ~pool_scheduler();
    pool_scheduler(pool_scheduler&&) noexcept;
    auto operator=(pool_scheduler&&) noexcept -> pool_scheduler&;

    auto configure(settings::pool_settings settings, core::time_point now)
        -> actions;
    auto set_members(std::vector<upstream_member> members, core::time_point now)
        -> actions;
    auto submit(work submitted, core::time_point now) -> actions;

    /// Gives up an attempt that still waits. No effect after its dispatch.
    auto withdraw(const core::attempt_id& id, core::time_point now) -> actions;
    auto finish(const attempt_result& result, core::time_point now) -> actions;
    auto report_load(const load_report& report, core::time_point now)
        -> actions;
    auto grant_cold_slots(const cold_grant& grant, core::time_point now)
        -> actions;

    /// Handles everything that time alone brings: expired work and grants.
    auto advance(core::time_point now) -> actions;

    /// \return When advance() has something to do, if ever.
    [[nodiscard]] auto next_timer() const -> std::optional<core::time_point>;

    /// \return The upstreams that are cold and for which slots are wanted,
    ///         with the number of attempts that could use them.
    [[nodiscard]] auto cold_demand() const
        -> std::map<core::upstream_id, std::uint32_t>;

    /// \return The estimated duration of an attempt at a quantile; zero when
    ///         nothing was observed yet.
    [[nodiscard]] auto estimate(double quantile) const -> core::duration;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::routing
