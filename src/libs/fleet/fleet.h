#pragma once

/// Umbrella header of the fleet package, which implements membership,
/// messages between nodes and the distribution of the configuration. Decisions
/// are state machines; peer_bus is the transport.

#include "fleet/config_publisher.h"
#include "fleet/config_source.h"
#include "fleet/member.h"
#include "fleet/peer_bus.h"
#include "fleet/upstream_directory.h"
