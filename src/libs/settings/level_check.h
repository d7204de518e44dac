#pragma once

#include "settings/schema.h"
#include "settings/tree.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace almondtiller::settings {

/// Checks the keys and values that are declared at one level of the tree and
/// appends what is invalid to \a findings.
/// \param non_setting_key A key that is allowed at the level but is not a
///        setting, such as "stages"; may be empty.
auto check_level(setting_level level, const std::string& path,
                 const nlohmann::json& declared,
                 std::string_view non_setting_key,
                 std::vector<finding>& findings) -> void;

/// \return The text of finding::allowed for an unknown key or name; contains
///         the most similar name of \a known.
[[nodiscard]] auto suggest(std::string_view wanted,
                           const std::vector<std::string>& known)
    -> std::string;

} // namespace almondtiller::settings
