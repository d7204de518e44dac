#pragma once

#include "tillerctl/exit_status.h"
#include "tillerctl/invocation.h"

namespace almondtiller::tillerctl {

[[nodiscard]] auto run_validate(const invocation& call, terminal& io)
    -> exit_status;

} // namespace almondtiller::tillerctl
