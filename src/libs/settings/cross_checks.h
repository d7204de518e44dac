#pragma once

#include "settings/snapshot.h"
#include "settings/tree.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace almondtiller::settings {

/// \return What is wrong between declarations that are right by themselves.
[[nodiscard]] auto cross_check(const nlohmann::json& document,
                               const snapshot& effective)
    -> std::vector<finding>;

/// \return The path of a stage, by its name or else its index.
[[nodiscard]] auto stage_path(const std::string& path,
                              const nlohmann::json& stages, std::size_t index)
    -> std::string;

/// The path of the finding that says that every zone is out; --force allows
/// it.
constexpr auto all_zones_out_path = "zones";

} // namespace almondtiller::settings
