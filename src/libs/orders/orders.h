#pragma once

/// Entry header of the orders package: the lease under which one node of a
/// region gives orders to engines, and the plan of those orders. Everything
/// here is a deterministic state machine and not thread-safe.

#include "orders/lease_keeper.h"
#include "orders/lease_value.h"
#include "orders/placement_planner.h"
