#pragma once

#include "settings/tree_diff.h"
#include "tillerctl/invocation.h"

#include <vector>

namespace almondtiller::tillerctl {

/// Writes differences in the wanted format.
auto print_differences(const std::vector<settings::difference>& differences,
                       const invocation& call, terminal& io) -> void;

} // namespace almondtiller::tillerctl
