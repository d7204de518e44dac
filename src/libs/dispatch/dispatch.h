#pragma once

/// Entry header of the dispatch package: decisions on which upstream does
/// which work and when, for all nodes at the one node that owns a service.
/// State machines without sockets, threads or clock reads.

#include "dispatch/placement.h"
#include "dispatch/rate_limit.h"
#include "dispatch/repeat_budget.h"
#include "dispatch/serving_state.h"
#include "dispatch/shard.h"
#include "dispatch/stage_queue.h"
