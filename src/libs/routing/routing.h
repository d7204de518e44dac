#pragma once

/// Entry header of the routing package: which upstream serves which request,
/// and when. Everything here is a deterministic state machine: events and the
/// time go in, actions come out. Not thread-safe; the caller serializes.

#include "routing/pool_scheduler.h"
#include "routing/routing_errc.h"
#include "routing/work.h"
