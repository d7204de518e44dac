#pragma once

#include "core/clock.h"

namespace almondtiller::dispatch {

/// Decides whether a node that was told to stop takes a further request. Load
/// pattern: nodes that are stopped in turn under load, while callers keep
/// connecting to the addresses that they know. A stream that is taken late is
/// cut when the node stops; its caller does better elsewhere.
/// \param leaving Time since the node was told to stop.
/// \param until_cut Time until it breaks off what still runs.
/// \param patience Longest time that the request may take.
[[nodiscard]] auto takes_while_leaving(core::duration leaving,
                                       core::duration until_cut,
                                       core::duration patience) -> bool;

} // namespace almondtiller::dispatch
