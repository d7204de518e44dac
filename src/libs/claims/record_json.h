#pragma once

#include "claims/bucket_contents.h"

#include <nlohmann/json_fwd.hpp>

namespace almondtiller::claims {

/// \return The JSON representation of a record, used in the store and in
///         messages between nodes.
[[nodiscard]] auto to_json(const claim_record& record) -> nlohmann::json;

/// Throws nlohmann::json::exception when \a item is not a claim record.
[[nodiscard]] auto to_record(const nlohmann::json& item) -> claim_record;

} // namespace almondtiller::claims
