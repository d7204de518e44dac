#pragma once

#include <nlohmann/json_fwd.hpp>

#include <ostream>

namespace almondtiller::tillerctl {

/// Writes the answer to GET /v1/status as tables.
auto print_status(const nlohmann::json& status, std::ostream& out) -> void;

/// Writes the answer to GET /v1/top as tables.
auto print_top(const nlohmann::json& top, std::ostream& out) -> void;

} // namespace almondtiller::tillerctl
