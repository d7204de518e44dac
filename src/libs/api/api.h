#pragma once

/// Umbrella header of the api package: the requests that callers send and
/// the responses they receive. The package consists of value types and pure
/// functions and may be used from any thread.

#include "api/api_errc.h"
#include "api/problem.h"
#include "api/run_answer.h"
#include "api/run_request.h"
