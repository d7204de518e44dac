#pragma once

#include "settings/schema.h"
#include "settings/tree.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace almondtiller::settings {

/// Checks the keys and values that stand at one level of the tree.
/// \param extra A key of the level that is no setting, like "stages"; may be
///        empty.
auto check_level(setting_level level, const std::string& path,
                 const nlohmann::json& declared, std::string_view extra,
                 std::vector<finding>& findings) -> void;

/// \return "NAME (nearest known: OTHER)" for a key or name that is not known.
[[nodiscard]] auto suggest(std::string_view wanted,
                           const std::vector<std::string>& known)
    -> std::string;

} // namespace almondtiller::settings
