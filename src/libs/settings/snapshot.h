#pragma once

#include "settings/effective.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace almondtiller::settings {

/// All effective settings at one revision. Immutable once built.
struct snapshot
{
    /// Increases by one with each accepted change; 0 before the first.
    std::uint64_t revision = 0;
    fleet_settings fleet;
    std::map<core::pipeline_name, pipeline_settings> pipelines;
    std::map<core::pool_name, pool_settings> pools;
    std::map<core::zone_name, zone_settings> zones;
    std::unordered_map<core::workspace_name, workspace_settings> workspaces;

    /// \return The settings; null when no such pipeline is declared. The other
    ///         find functions behave alike.
    [[nodiscard]] auto find_pipeline(const core::pipeline_name& name) const
        -> const pipeline_settings*;
    [[nodiscard]] auto find_pool(const core::pool_name& name) const
        -> const pool_settings*;
    [[nodiscard]] auto find_workspace(const core::workspace_name& name) const
        -> const workspace_settings*;

    /// \return Whether the zone may receive work; false for undeclared zones.
    [[nodiscard]] auto is_zone_in(const core::zone_name& name) const -> bool;

    auto operator==(const snapshot&) const -> bool = default;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace almondtiller::settings
