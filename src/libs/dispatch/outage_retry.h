#pragma once

#include "core/clock.h"

namespace almondtiller::dispatch {

/// Tells a caller when to come back to a node that can't serve anybody yet.
/// Load pattern: all nodes are restarted while the platform's store is away.
/// Callers come back once or a few times, and in an outage of seconds all who
/// return at once are lost.
/// \param left Time that the caller has left.
/// \param is_outage The store has failed to answer this node; otherwise it is
///        just starting.
/// \param spread In [0, 1); callers must not return all at the same time.
/// \return At most a third of what the caller has left, as callers wait no
///         longer.
[[nodiscard]] auto outage_retry(core::duration left, bool is_outage,
                                double spread) -> core::milliseconds;

} // namespace almondtiller::dispatch
