#pragma once

/// Entry header of the fleet package: how the nodes of the system act
/// together. Decisions are state machines; peer_bus is the transport.

#include "fleet/config_publisher.h"
#include "fleet/config_source.h"
#include "fleet/member.h"
#include "fleet/peer_bus.h"
#include "fleet/upstream_directory.h"
