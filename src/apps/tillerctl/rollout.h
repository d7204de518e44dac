#pragma once

#include "tillerctl/exit_status.h"
#include "tillerctl/session.h"

#include <cstdint>

namespace almondtiller::tillerctl {

/// Reports what became of a change and how that was found out, then waits
/// until every node that the platform lists says that the revision is in
/// force. Progress goes to err.
[[nodiscard]] auto finish_change(session& opened,
                                 const fleet::change_outcome& outcome,
                                 const invocation& call, terminal& io)
    -> exit_status;

} // namespace almondtiller::tillerctl
