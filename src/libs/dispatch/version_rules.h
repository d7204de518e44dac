#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <functional>
#include <vector>

namespace almondtiller::dispatch {

/// Returns whether an upstream may get a piece of work.
using upstream_rule = std::function<bool(const core::upstream_id&)>;

/// How the work of a service is divided between the versions of its upstreams
/// during a rollout.
struct version_rules
{
    /// Returns rules for the next piece of work, the preferred one first. If
    /// there are none, any upstream may get it.
    std::function<std::vector<upstream_rule>(core::time_point now)> next;
    /// Records that a piece of work was given to an upstream.
    std::function<void(const core::upstream_id&, core::time_point now)>
        on_given;
};

} // namespace almondtiller::dispatch
