#pragma once

/// Entry header of the stand-ins' library: the HTTP shell, the journal and
/// the model of an upstream that the stand-in programs share. Tests only.

#include "standin/journal.h"
#include "standin/server.h"
#include "standin/upstream_model.h"
#include "standin/upstream_server.h"
