#pragma once

/// Entry header of the serving package: value types for settings,
/// configuration, upstreams and requests, which the adapter decodes. No I/O.

#include "serving/configuration.h"
#include "serving/node_settings.h"
#include "serving/request.h"
#include "serving/upstream.h"
