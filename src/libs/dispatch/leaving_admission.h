#pragma once

#include "core/clock.h"

namespace almondtiller::dispatch {

/// Decides whether a node that is shutting down accepts another request. Load
/// pattern: nodes are stopped one after the other under load, while callers
/// keep connecting to the addresses that they know. A stream that is accepted
/// late is cut when the node stops, so its caller should use another node.
/// \param leaving Time since the node was told to stop.
/// \param until_cut Time until the node aborts the requests that still run.
/// \param patience Longest time that the request may take.
[[nodiscard]] auto takes_while_leaving(core::duration leaving,
                                       core::duration until_cut,
                                       core::duration patience) -> bool;

} // namespace almondtiller::dispatch
