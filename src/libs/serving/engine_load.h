#pragma once

#include <cstdint>
#include <optional>

namespace almondtiller::serving {

/// What an upstream states about its present load. Each figure is empty if it
/// is missing or implausible, independently of the others.
struct engine_load
{
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    std::optional<std::uint32_t> slots;
    /// How long work currently takes on the machine, in percent of the usual
    /// time.
    std::optional<double> slowdown_percent;

    auto operator==(const engine_load&) const -> bool = default;
};

} // namespace almondtiller::serving
