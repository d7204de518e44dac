#pragma once

#include "settings/effective.h"
#include "settings/schema.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace almondtiller::settings {

/// The declarations that apply to one object: its own first, the root last.
using level_chain = std::vector<const nlohmann::json*>;

/// \return The value of the nearest level that sets the key; null when no
///         level sets it.
[[nodiscard]] auto find_value(const setting_info& info,
                              const level_chain& levels)
    -> const nlohmann::json*;

/// Sets each setting of \a target to the value of the nearest level that sets
/// it. Settings that no level sets or whose value has the wrong type keep
/// their defaults.
template <typename Owner>
auto resolve_into(Owner& target, const level_chain& levels) -> void;

extern template auto resolve_into(stage_settings&, const level_chain&) -> void;
extern template auto resolve_into(pipeline_settings&, const level_chain&)
    -> void;
extern template auto resolve_into(pool_settings&, const level_chain&) -> void;
extern template auto resolve_into(workspace_settings&, const level_chain&)
    -> void;
extern template auto resolve_into(zone_settings&, const level_chain&) -> void;
extern template auto resolve_into(fleet_settings&, const level_chain&) -> void;

/// \return The member \a name of the document; an empty object when the member
///         is missing or not an object.
[[nodiscard]] auto object_member(const nlohmann::json& document,
                                 std::string_view name)
    -> const nlohmann::json&;

/// \return The stages of a pipeline's declaration; an empty array when they
///         are missing or not an array.
[[nodiscard]] auto declared_stages(const nlohmann::json& pipeline)
    -> const nlohmann::json&;

} // namespace almondtiller::settings
