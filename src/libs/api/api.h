#pragma once

/// Entry header of the api package: what callers send and get. Values and
/// pure functions; may be used from any thread.

#include "api/api_errc.h"
#include "api/problem.h"
#include "api/run_answer.h"
#include "api/run_request.h"
