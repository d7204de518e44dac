#pragma once

/// Entry header of the pipeline package. It executes a request's stages as a
/// deterministic state machine and checks that an upstream's answer is complete
/// and belongs to the current attempt. Not thread-safe; one thread owns each
/// run.

#include "pipeline/pipeline_run.h"
#include "pipeline/stream_reader.h"
#include "pipeline/upstream_answer.h"
