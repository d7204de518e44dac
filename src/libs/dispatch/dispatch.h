#pragma once

/// Entry header of the dispatch package, which decides which upstream does
/// which work and when. The node that owns a service, or a zone's shard of it,
/// decides for all nodes. The classes are state machines without sockets,
/// threads or clock reads.

#include "dispatch/placement.h"
#include "dispatch/prompt_quarantine.h"
#include "dispatch/rate_limit.h"
#include "dispatch/request_pacer.h"
#include "dispatch/retry_budget.h"
#include "dispatch/serving_state.h"
#include "dispatch/shard.h"
#include "dispatch/stage_queue.h"
