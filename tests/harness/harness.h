#pragma once

/// Entry header of the process harness: starts almondtiller and the stand-ins
/// as real processes, calls them as a caller would, and counts lost, doubled
/// and crossed work from the stand-ins' journals. Tests and benches only.

#include "harness/caller.h"
#include "harness/client.h"
#include "harness/cluster.h"
#include "harness/journal_check.h"
#include "harness/process.h"
#include "harness/user_plans.h"
#include "harness/wait.h"
