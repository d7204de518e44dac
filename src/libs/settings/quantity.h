#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondtiller::settings {

/// Reads a duration with its unit: ms, s, m or h, like "250ms".
/// \return settings_errc::wrong_type without a number, with another unit or
///         when the value does not fit.
[[nodiscard]] auto parse_duration(std::string_view text)
    -> core::result<core::milliseconds>;

/// Reads a size with its unit: B, KiB, MiB or GiB, like "64KiB".
/// \return settings_errc::wrong_type as above.
[[nodiscard]] auto parse_size(std::string_view text)
    -> core::result<std::uint64_t>;

/// \return The duration with the largest unit that states it exactly.
[[nodiscard]] auto format_duration(core::milliseconds value) -> std::string;

/// \return The size with the largest unit that states it exactly.
[[nodiscard]] auto format_size(std::uint64_t bytes) -> std::string;

} // namespace almondtiller::settings
