#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "serving/configuration.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondtiller::serving {

/// A running incarnation of an upstream, as registered in the store.
struct upstream
{
    core::upstream_id id;
    service_name service;
    core::endpoint address;
    core::zone_name zone;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// Remaining cold time as of the registration.
    std::chrono::milliseconds cold_left{0};
    /// Start time in milliseconds, which distinguishes incarnations of one id;
    /// 0 if unknown.
    std::int64_t started_ms = 0;
    /// Version of its software; empty if unknown.
    std::string version;

    auto operator==(const upstream&) const -> bool = default;
};

} // namespace almondtiller::serving
