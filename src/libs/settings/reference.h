#pragma once

#include <string>

namespace almondtiller::settings {

/// \return The reference page of all settings, in Markdown.
[[nodiscard]] auto settings_reference() -> std::string;

} // namespace almondtiller::settings
