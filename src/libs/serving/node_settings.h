#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace almondtiller::serving {

/// Settings of a node, read from its settings file.
struct node_settings
{
    core::node_id node;
    core::zone_name zone;
    /// Listen address for callers' requests.
    core::endpoint front;
    /// Listen address for the platform's readiness checks.
    core::endpoint readiness;
    /// Listen address for callers' directory queries.
    core::endpoint directory;
    /// Listen address for traffic from other nodes. Its port is the first of
    /// the range that is reserved for the node.
    core::endpoint peers;
    /// Listen address for metrics.
    core::endpoint metrics;
    core::endpoint store;

    /// Processor time that the node may use, in cores.
    double cores = 1;
    /// Bandwidth of the node's link in megabits per second.
    double link_mbps = 1000;

    /// Memory that the process may use, in bytes.
    std::uint64_t memory_bytes = std::uint64_t(256) << 20U;
    /// Descriptors that the process may open.
    std::uint32_t max_descriptors = 4096;

    /// Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds grace{8000};
    /// Upper bound for how long callers may cache a directory response.
    std::chrono::seconds max_directory_ttl{5};
    /// Retry budget as a share of requests, over all nodes.
    double retry_ratio = 0.2;
    std::chrono::seconds retry_window{10};
    /// Retries allowed per window in addition to the ratio.
    double retry_allowance = 0;
    /// Limit of requests per second to a cold upstream: cold_factor times its
    /// cold rate, plus cold_extra.
    double cold_factor = 1;
    double cold_extra = 0;

    /// Whether operators may order rollouts of an upstream version.
    bool has_rollouts = false;
    /// Share of a service's requests that a version may get before it is known
    /// to be good, and requests in addition to the share.
    double exposure_share = 0;
    double exposure_slack = 0;
    /// Time after the 50th bad answer of a version within which all nodes stop
    /// sending to it.
    std::chrono::milliseconds rollback_time{5000};
    /// Whether workspaces share insufficient room in weighted parts.
    bool has_fair_sharing = false;

    auto operator==(const node_settings&) const -> bool = default;
};

} // namespace almondtiller::serving
