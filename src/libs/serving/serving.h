#pragma once

/// Entry header of the serving package: the values that a node serves by
/// (settings, configuration, upstreams, requests), as the adapter decodes
/// them. Plain values without I/O.

#include "serving/configuration.h"
#include "serving/node_settings.h"
#include "serving/request.h"
#include "serving/upstream.h"
