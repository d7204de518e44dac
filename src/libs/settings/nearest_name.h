#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::settings {

/// \return The name of \a known with the smallest Levenshtein distance to
///         \a wanted; empty when \a known is empty.
[[nodiscard]] auto nearest_name(std::string_view wanted,
                                const std::vector<std::string>& known)
    -> std::string;

} // namespace almondtiller::settings
