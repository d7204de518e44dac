#pragma once

#include "core/clock.h"

#include <cstdint>

namespace almondtiller::routing {

/// Watches one upstream: ejects it after consecutive failures or consecutive
/// answers far slower than the pool's, for a time that doubles with each
/// ejection, and lets single probes through before it is admitted again.
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

    /// Forgets everything, for an upstream that restarted.
    auto reset() -> void;

    /// Whether the upstream counts as ejected; it stays so while probed.
    [[nodiscard]] auto is_ejected() const -> bool;

    /// \param in_flight Requests in flight at the upstream.
    [[nodiscard]] auto admits(std::uint32_t in_flight,
                              core::time_point now) const -> bool;

    [[nodiscard]] auto ejected_until() const -> core::time_point;

private:
    bool ejected = false;
    std::uint32_t failures = 0;
    std::uint32_t slow_answers = 0;
    std::uint32_t probes = 0;
    std::uint32_t ejections = 0;
    core::time_point until;
};

} // namespace almondtiller::routing
