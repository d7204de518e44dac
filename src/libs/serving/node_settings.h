#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <chrono>
#include <optional>
#include <vector>

namespace almondtiller::serving {

/// What a process learns from its settings file.
struct node_settings
{
    core::node_id node;
    core::zone_name zone;
    /// Callers' requests.
    core::endpoint front;
    /// The platform's readiness checks.
    core::endpoint readiness;
    /// Callers' questions for addresses.
    core::endpoint directory;
    /// Traffic between nodes: the first port that is free for it.
    core::endpoint peers;
    /// Counters and histograms.
    core::endpoint metrics;
    core::endpoint store;

    /// Processor time that the node may use, in cores.
    double cores = 1;
    /// Bandwidth of the node's link in megabits a second.
    double link_mbps = 1000;

    /// Time between SIGTERM and SIGKILL.
    std::chrono::milliseconds grace{8000};
    /// The longest that a directory answer may be kept.
    std::chrono::seconds max_directory_ttl{5};
    /// Retries allowed for each request, over all nodes.
    double retry_ratio = 0.2;
    std::chrono::seconds retry_window{10};
    /// Retries allowed in a window beside the ratio.
    double retry_allowance = 0;
    /// Requests a second that a cold upstream may get, as a multiple of its
    /// own rate, and beside it.
    double cold_factor = 1;
    double cold_extra = 0;

    auto operator==(const node_settings&) const -> bool = default;
};

} // namespace almondtiller::serving
