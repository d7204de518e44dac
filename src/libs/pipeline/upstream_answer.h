#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondtiller::pipeline {

/// What is wrong with an upstream's answer, if anything.
enum class answer_defect
{
    none,
    cut,      ///< Not parseable, or without its final marker.
    foreign,  ///< It carries another attempt's id.
    miscount, ///< Tokens are missing or repeated.
};

[[nodiscard]] auto to_string(answer_defect defect) -> std::string;

/// An upstream's answer after its checks.
struct upstream_answer
{
    answer_defect defect = answer_defect::none;
    std::string output; ///< JSON text.
    std::uint64_t tokens = 0;
    std::string incarnation;
    bool cold = false;

    auto operator==(const upstream_answer&) const -> bool = default;
};

/// An upstream's refusal or failure.
struct upstream_failure
{
    /// Whether the upstream says itself that it did not start.
    bool not_started = false;
    std::string incarnation;
    bool cold = false;

    auto operator==(const upstream_failure&) const -> bool = default;
};

/// Reads a whole answer and checks the echo of the attempt's id.
[[nodiscard]] auto parse_answer(std::string_view body,
                                const core::attempt_id& attempt)
    -> upstream_answer;

/// Reads the body of an answer with an error status. Without the attempt's
/// own id and `"started": false` the work counts as started.
[[nodiscard]] auto parse_failure(std::string_view body,
                                 const core::attempt_id& attempt)
    -> upstream_failure;

} // namespace almondtiller::pipeline
