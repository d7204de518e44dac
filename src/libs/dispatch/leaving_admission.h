#pragma once

#include "core/clock.h"

namespace almondtiller::dispatch {

/// Decides whether a node that is shutting down accepts another request. Load
/// pattern: nodes are stopped one after the other under load, while callers
/// keep connecting to the addresses that they know. A stream that is accepted
/// late is cut when the node stops, so its caller should use another node.
/// \param since_stop_request Time since the shutdown was requested.
/// \param until_stop Time until the node aborts the requests that still run.
/// \param max_duration Longest time that the request may take.
[[nodiscard]] auto accepts_while_leaving(core::duration since_stop_request,
                                         core::duration until_stop,
                                         core::duration max_duration) -> bool;

} // namespace almondtiller::dispatch
