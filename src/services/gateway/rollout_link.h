#pragma once

#include "core/metrics.h"
#include "dispatch/version_rules.h"
#include "services/rollout/rollout_service.h"

namespace almondtiller::gateway {

/// \return The version rules of a service; none if there are no rollouts.
/// \param rollouts May be nullptr.
[[nodiscard]] auto make_version_rules(rollout::rollout_service* rollouts,
                                      const serving::service_name& service)
    -> dispatch::version_rules;

/// Updates the metrics of the orders that a node carries out.
auto update_rollout_metrics(core::metrics_registry& registry,
                            const rollout::rollout_service& rollouts) -> void;

} // namespace almondtiller::gateway
