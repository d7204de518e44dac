#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::api {

/// Attempts and time that one stage of a completed request needed.
struct stage_summary
{
    core::stage_name name;
    core::upstream_id upstream;
    std::uint32_t attempts = 0;
    core::duration time{};

    auto operator==(const stage_summary&) const -> bool = default;
};

/// The answer to a completed request.
struct run_answer
{
    core::request_id request;
    std::string output; ///< JSON text.
    std::uint64_t tokens = 0;
    bool replayed = false;
    std::vector<stage_summary> stages;

    auto operator==(const run_answer&) const -> bool = default;
};

/// \return The answer as JSON text.
[[nodiscard]] auto to_json(const run_answer& answer) -> std::string;

/// Sets "replayed" to true in the JSON text of a recorded answer.
/// \return The changed text; \a answer itself when it is not a JSON object.
[[nodiscard]] auto mark_replayed(const std::string& answer) -> std::string;

} // namespace almondtiller::api
