#pragma once

/// Entry header of the load library: open-loop schedules, direct calls of
/// upstreams, and the report of a run. Benches and tests only.

#include "load/open_loop.h"
#include "load/report.h"
#include "load/traffic.h"
#include "load/upstream_call.h"
