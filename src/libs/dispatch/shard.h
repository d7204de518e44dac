#pragma once

#include "core/ids.h"
#include "serving/configuration.h"

namespace almondtiller::dispatch {

/// The part of a service that one node owns: its upstreams in one availability
/// zone, or all of them if the service is small.
struct shard
{
    serving::service_name service;
    /// Empty: all zones.
    core::zone_name zone;

    auto operator==(const shard&) const -> bool = default;
    auto operator<=>(const shard&) const = default;

    /// \return Whether an upstream in zone \a upstream_zone belongs to the
    /// shard.
    [[nodiscard]] auto covers(const core::zone_name& upstream_zone) const
        -> bool
    {
        return this->zone.empty() || this->zone == upstream_zone;
    }
};

} // namespace almondtiller::dispatch
