#pragma once

#include "settings/snapshot.h"
#include "settings/tree.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace almondtiller::settings {

/// \return Findings about declarations that are valid individually but
///         contradict each other or refer to something that does not exist.
[[nodiscard]] auto cross_check(const nlohmann::json& document,
                               const snapshot& effective)
    -> std::vector<finding>;

/// \return The path of a stage, ending in its name, or in its index when it
///         has no name.
[[nodiscard]] auto stage_path(const std::string& path,
                              const nlohmann::json& stages, std::size_t index)
    -> std::string;

/// Path of the finding that is reported when every availability zone is out.
/// --force overrides this finding.
constexpr auto all_zones_out_path = "zones";

} // namespace almondtiller::settings
