#pragma once

#include "measure.h"

#include <string>
#include <vector>

namespace almondtiller::experiment {

/// \return JSON text of every row.
auto to_json(const std::vector<run_row>& rows) -> std::string;

/// \return One line of the readable table, and its heading.
auto table_heading() -> std::string;
auto to_line(const run_row& row) -> std::string;

/// \return An SVG image of attainment over load, one panel a user.
auto to_svg(const std::vector<run_row>& rows) -> std::string;

} // namespace almondtiller::experiment
