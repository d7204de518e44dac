#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::settings {

/// \return The known name with the least Levenshtein distance to \a wanted;
///         empty when none is known.
[[nodiscard]] auto nearest_name(std::string_view wanted,
                                const std::vector<std::string>& known)
    -> std::string;

} // namespace almondtiller::settings
