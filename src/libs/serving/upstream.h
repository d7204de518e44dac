#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "serving/configuration.h"

#include <chrono>
#include <cstdint>

namespace almondtiller::serving {

/// One running incarnation of an upstream, as it registered itself.
struct upstream
{
    core::upstream_id id;
    service_name service;
    core::endpoint address;
    core::zone_name zone;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// How much longer it stays cold, at the time of the registration.
    std::chrono::milliseconds cold_left{0};
    /// Tells incarnations of one id apart; 0 if unknown.
    std::int64_t started_ms = 0;

    auto operator==(const upstream&) const -> bool = default;
};

} // namespace almondtiller::serving
