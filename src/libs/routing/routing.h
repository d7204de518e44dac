#pragma once

/// Main header of the routing package, which decides which upstream serves
/// which request, and when. All classes are deterministic state machines that
/// take events and the current time and return actions. They are not
/// thread-safe; the caller must serialize all calls.

#include "routing/attempt_request.h"
#include "routing/pool_scheduler.h"
#include "routing/routing_errc.h"
