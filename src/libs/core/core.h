#pragma once

/// Entry header of the core package: results, error categories, the runtime
/// clock, seeded randomness, identifiers, counters and latency histograms.
/// Everything here may be called from any thread unless a type says otherwise.

#include "core/clock.h"
#include "core/errc.h"
#include "core/histogram.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/result.h"
