#pragma once

/// Entry header of the result_room package: what upstreams hold for others than
/// their present owner. No I/O; one thread at a time.

#include "result_room/room_estimate.h"
