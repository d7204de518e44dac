#pragma once

#include "core/clock.h"

#include <cstdint>

namespace almondtiller::routing {

/// Adaptive limit of requests in flight at one upstream: slow start, then
/// additive increase, and multiplicative decrease when the upstream rejects
/// work or when its recent latency is far above its own baseline.
class concurrency_limit
{
public:
    /// \pre 1 <= smallest <= largest
    concurrency_limit(std::uint32_t smallest, std::uint32_t largest);

    auto set_bounds(std::uint32_t smallest, std::uint32_t largest) -> void;

    /// \param in_flight Requests in flight, including the one that ended.
    auto on_success(core::duration latency, std::uint32_t in_flight,
                    core::time_point now) -> void;

    /// Handles a rejection or a timeout.
    auto on_overload(core::time_point now) -> void;

    [[nodiscard]] auto value() const -> std::uint32_t;

private:
    auto decrease(core::time_point now) -> void;
    auto increase() -> void;

    double smallest;
    double largest;
    double limit;
    bool slow_start = true;
    double recent_seconds = 0.0;
    double baseline_seconds = 0.0;
    core::time_point next_decrease;
};

} // namespace almondtiller::routing
