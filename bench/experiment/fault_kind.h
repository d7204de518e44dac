#pragma once

#include "harness/cluster.h"

#include <string>
#include <vector>

namespace almondtiller::experiment {

/// A fault that strikes a running cluster.
enum class fault_kind
{
    slow_stage,
    failing_stage,
    killed_engine,
    killed_node,
    warm_to_cold,
    cut_answers,
    repeated_tokens,
    mismatched_answers,
    store_slow,
    store_down,
    lost_store_answers,
    paused_node,
};

[[nodiscard]] auto every_fault() -> std::vector<fault_kind>;
[[nodiscard]] auto to_string(fault_kind kind) -> std::string;

/// Lets a fault begin. \a engines and \a service are pools that it may
/// strike.
auto begin_fault(harness::cluster& cluster, fault_kind kind,
                 const std::string& engines, const std::string& service)
    -> void;

/// Ends what can end: store faults and pauses.
auto end_fault(harness::cluster& cluster, fault_kind kind) -> void;

} // namespace almondtiller::experiment
