#pragma once

#include "settings/declaration_files.h"
#include "tillerctl/invocation.h"

#include <vector>

namespace almondtiller::tillerctl {

/// Reads and validates declarations.
/// \return Everything that is wrong, with the files filled in.
[[nodiscard]] auto check(const settings::loaded_tree& loaded)
    -> std::vector<settings::finding>;

/// Writes findings in the wanted format, one a line in the table.
auto print_findings(const std::vector<settings::finding>& findings,
                    const invocation& call, terminal& io) -> void;

} // namespace almondtiller::tillerctl
