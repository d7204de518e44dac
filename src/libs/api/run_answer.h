#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::api {

/// What one stage of a completed request took.
struct stage_summary
{
    core::stage_name name;
    core::upstream_id upstream;
    std::uint32_t attempts = 0;
    core::duration time{};

    auto operator==(const stage_summary&) const -> bool = default;
};

/// The whole answer to a completed request.
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

/// Marks the JSON text of a recorded answer as a repetition.
/// \return The text unchanged when it is not an answer.
[[nodiscard]] auto mark_replayed(const std::string& answer) -> std::string;

} // namespace almondtiller::api
