#pragma once

namespace almondtiller::gateway {

// Topics of the messages that a node sends to the owner of a service.
inline constexpr auto stage_topic = "stage";
inline constexpr auto place_topic = "place";
inline constexpr auto report_topic = "report";
inline constexpr auto free_topic = "free";

/// Topic of what a node has observed about crashes of upstreams, for all nodes.
inline constexpr auto crash_topic = "crash";

} // namespace almondtiller::gateway
