#pragma once

/// Umbrella header of the orders package: the lease that allows one node of a
/// region to send orders to engines, and the planning of these orders. The
/// classes are deterministic state machines and not thread-safe.

#include "orders/lease_keeper.h"
#include "orders/lease_value.h"
#include "orders/placement_planner.h"
