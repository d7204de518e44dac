#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondtiller::settings {

/// Parses a duration with a unit (ms, s, m or h), such as "250ms".
/// \return settings_errc::wrong_type when the number is missing, the unit is
///         missing or unknown, or the value is too large.
[[nodiscard]] auto parse_duration(std::string_view text)
    -> core::result<core::milliseconds>;

/// Parses a size with a unit (B, KiB, MiB or GiB), such as "64KiB".
/// \return The size in bytes; settings_errc::wrong_type as for
///         parse_duration().
[[nodiscard]] auto parse_size(std::string_view text)
    -> core::result<std::uint64_t>;

/// \return The duration in the largest unit that represents it exactly.
[[nodiscard]] auto format_duration(core::milliseconds value) -> std::string;

/// \return The size in the largest unit that represents it exactly.
[[nodiscard]] auto format_size(std::uint64_t bytes) -> std::string;

} // namespace almondtiller::settings
