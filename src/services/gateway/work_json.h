#pragma once

#include "dispatch/placement.h"
#include "dispatch/stage_queue.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace almondtiller::gateway {

// Parts of the messages between nodes; see peer_messages.h. The functions that
// read throw nlohmann::json::exception if the value has another form.

/// \return The time until \a at in milliseconds.
[[nodiscard]] auto remaining_ms(core::time_point at, core::time_point now)
    -> std::int64_t;
[[nodiscard]] auto time_after(const nlohmann::json& remaining,
                              core::time_point now) -> core::time_point;

[[nodiscard]] auto to_json(const dispatch::placement_request& request,
                           core::time_point now) -> nlohmann::json;
[[nodiscard]] auto request_from_json(const nlohmann::json& value,
                                     core::time_point now)
    -> dispatch::placement_request;

[[nodiscard]] auto to_json(const dispatch::stage_work& work,
                           core::time_point now) -> nlohmann::json;
[[nodiscard]] auto stage_work_from_json(const nlohmann::json& value,
                                        core::time_point now)
    -> dispatch::stage_work;

} // namespace almondtiller::gateway
