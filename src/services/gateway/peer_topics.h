#pragma once

namespace almondtiller::gateway {

// Messages between nodes about the services that one of them owns.
inline constexpr auto stage_topic = "stage";
inline constexpr auto place_topic = "place";
inline constexpr auto report_topic = "report";
inline constexpr auto free_topic = "free";

} // namespace almondtiller::gateway
