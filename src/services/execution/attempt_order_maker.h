#pragma once

#include "api/run_request.h"
#include "pipeline/pipeline_run.h"
#include "services/upstreams/attempt_runner.h"
#include "settings/snapshot.h"

namespace almondtiller::services {

/// \return The order for an attempt that a run wants.
[[nodiscard]] auto make_order(const api::run_request& request,
                              const settings::snapshot& snapshot,
                              const pipeline::pipeline_run& run,
                              const pipeline::start_attempt& wanted)
    -> attempt_order;

} // namespace almondtiller::services
