#pragma once

#include "claims/bucket_contents.h"

#include <nlohmann/json_fwd.hpp>

namespace almondtiller::claims {

/// The JSON form of a record, in the store and between nodes.
[[nodiscard]] auto to_json(const claim_record& record) -> nlohmann::json;

/// Throws nlohmann::json::exception when \a item is no record.
[[nodiscard]] auto to_record(const nlohmann::json& item) -> claim_record;

} // namespace almondtiller::claims
