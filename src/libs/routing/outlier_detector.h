#pragma once

#include "core/clock.h"

#include <cstdint>

namespace almondtiller::routing {

/// Detects whether one upstream is an outlier of its pool. The upstream is
/// ejected after consecutive failures or consecutive responses far slower than
/// the pool's median, for a time that doubles with each ejection. Afterwards it
/// gets one probe at a time until enough of them succeeded.
class outlier_detector
{
public:
    /// \param pool_median Zero while unknown.
    /// \return Whether the upstream should be ejected now.
    auto on_success(core::duration latency, core::duration pool_median,
                    core::time_point now) -> bool;

    /// \return Whether the upstream should be ejected now.
    auto on_failure(core::time_point now) -> bool;

    auto eject(core::time_point now) -> void;

    /// Restores the initial state after the upstream restarted.
    auto reset() -> void;

    /// \return Whether the upstream is ejected; true also while it is probed.
    [[nodiscard]] auto is_ejected() const -> bool;

    /// \param in_flight Requests in flight at the upstream.
    /// \return Whether the upstream may get a request, as a probe or otherwise.
    [[nodiscard]] auto admits(std::uint32_t in_flight,
                              core::time_point now) const -> bool;

    /// \return When the first probe is allowed; meaningful only while ejected.
    [[nodiscard]] auto ejected_until() const -> core::time_point;

private:
    bool ejected = false;
    std::uint32_t failures = 0;
    std::uint32_t slow_responses = 0;
    std::uint32_t successful_probes = 0;
    std::uint32_t ejections = 0;
    core::time_point ejection_end;
};

} // namespace almondtiller::routing
