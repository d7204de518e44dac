#pragma once

#include "routing/pool_scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace almondtiller::services {

/// What other services may see and change of this node's pools. Implemented
/// by the service "upstreams". Thread-safe.
class pool_access
{
public:
    /// How many attempts of one pool could use slots of which cold upstream.
    using demand = std::map<core::upstream_id, std::uint32_t>;

    /// Called on any thread with each upstream that turned cold by this node's
    /// own observations.
    using cold_notification_handler =
        std::function<void(const core::pool_name& pool,
                           const routing::cold_notification& notification)>;

    pool_access() = default;
    virtual ~pool_access() = default;
    pool_access(const pool_access&) = delete;
    auto operator=(const pool_access&) -> pool_access& = delete;

    /// \return The pools of the configuration in force, sorted by name.
    [[nodiscard]] virtual auto pools() const
        -> std::vector<core::pool_name> = 0;

    /// \return The pool_scheduler's cold_demand(); empty for unknown pools.
    [[nodiscard]] virtual auto cold_demand(const core::pool_name& pool) const
        -> demand = 0;

    /// \return The pool's cold upstreams, those without demand included.
    [[nodiscard]] virtual auto cold_upstreams(const core::pool_name& pool) const
        -> std::vector<routing::cold_upstream> = 0;

    /// Passes a grant to the pool's scheduler; ignored for unknown pools.
    virtual auto grant_cold_slots(const core::pool_name& pool,
                                  const routing::cold_grant& grant) -> void = 0;

    /// Sets the handler; before requests are served.
    virtual auto on_cold_notification(cold_notification_handler handler)
        -> void = 0;

    /// Applies another node's notification that an upstream turned cold;
    /// ignored for unknown pools.
    virtual auto
    apply_cold_notification(const core::pool_name& pool,
                            const routing::cold_notification& notification)
        -> void = 0;

    /// Tells the pool's scheduler that there will be no slots of an upstream
    /// for \a retry_after; ignored for unknown pools.
    virtual auto deny_cold_slots(const core::pool_name& pool,
                                 const core::upstream_id& id,
                                 core::duration retry_after) -> void = 0;
};

/// The name of the service that implements pool_access and attempt_runner.
constexpr auto upstreams_service_name = "upstreams";

} // namespace almondtiller::services
