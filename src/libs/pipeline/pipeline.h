#pragma once

/// Entry header of the pipeline package: the execution of one request through
/// its stages as a deterministic state machine, and the checks that tell a
/// whole upstream answer from a cut, late or foreign one. Not thread-safe;
/// one thread owns each run.

#include "pipeline/pipeline_run.h"
#include "pipeline/stream_reader.h"
#include "pipeline/upstream_answer.h"
