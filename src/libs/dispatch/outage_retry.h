#pragma once

#include "core/clock.h"

namespace almondtiller::dispatch {

/// Chooses the time after which a caller should retry if the node cannot serve
/// requests yet. Load pattern: all nodes are restarted while the platform's
/// store is unavailable. Callers retry once or a few times, and in an outage of
/// several seconds all callers that retry at once fail.
/// \param time_left Time until the caller's deadline.
/// \param is_outage True if the store has failed to answer this node, false if
///        the node is just starting.
/// \param jitter Jitter in [0, 1), so that callers do not all retry at the same
///        time.
/// \return At most a third of \a time_left, as callers do not wait longer.
[[nodiscard]] auto outage_retry(core::duration time_left, bool is_outage,
                                double jitter) -> core::milliseconds;

} // namespace almondtiller::dispatch
