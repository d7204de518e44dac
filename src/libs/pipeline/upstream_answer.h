#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondtiller::pipeline {

/// Why an upstream's answer is invalid.
enum class answer_defect
{
    none,
    cut,      ///< Truncated: not parseable or without the final marker.
    foreign,  ///< It has the id of another attempt.
    miscount, ///< Tokens are missing or duplicated.
};

[[nodiscard]] auto to_string(answer_defect defect) -> std::string;

/// An upstream's answer and the result of its checks.
struct upstream_answer
{
    answer_defect defect = answer_defect::none;
    std::string output; ///< JSON text.
    std::uint64_t tokens = 0;
    std::string incarnation;
    bool cold = false;

    auto operator==(const upstream_answer&) const -> bool = default;
};

/// Details of an upstream's error response.
struct upstream_failure
{
    /// Whether the upstream states that it did not start the attempt.
    bool not_started = false;
    std::string incarnation;
    bool cold = false;

    auto operator==(const upstream_failure&) const -> bool = default;
};

/// Parses a complete answer and checks that it echoes the attempt's id.
[[nodiscard]] auto parse_answer(std::string_view body,
                                const core::attempt_id& attempt)
    -> upstream_answer;

/// Parses the body of an error response. Unless it has the attempt's id and
/// `"started": false`, the attempt counts as started.
[[nodiscard]] auto parse_failure(std::string_view body,
                                 const core::attempt_id& attempt)
    -> upstream_failure;

} // namespace almondtiller::pipeline
