#pragma once

#include "core/result.h"
#include "rollout/report.h"
#include "services/rollout/status_writer.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondtiller::rollout {

/// A node that is registered in the store.
struct node_presence
{
    core::node_id node;
    bool is_alive = false;

    auto operator==(const node_presence&) const -> bool = default;
};

/// \return The phase's name in log lines and metrics.
[[nodiscard]] auto text_of(phase current) -> std::string_view;
/// \return A duration in whole milliseconds, as written in log lines.
[[nodiscard]] auto ms_text(core::duration time) -> std::string;

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// What carrying out orders needs from the node.
struct rollout_hooks
{
    /// Returns the registered nodes other than this one.
    std::function<std::vector<node_presence>()> other_nodes;
    /// Returns the node that coordinates the orders of a service.
    std::function<core::node_id(const serving::service_name&)> coordinator_of;
    /// Sends a message of the topic rollout to a node.
    std::function<void(const core::node_id&, std::string body,
                       core::milliseconds timeout,
                       std::function<void(const core::result<std::string>&)>)>
        call;
    status_writer::send write_status;
    /// Returns how many results of stages this node keeps track of at
    /// upstreams for which the predicate holds.
    std::function<std::uint32_t(
        const serving::service_name&,
        const std::function<bool(const core::upstream_id&)>&)>
        held_results;
    /// Called when other upstreams may get work than before.
    std::function<void()> on_changed;
    /// Writes a log line.
    std::function<void(bool is_failure, std::string_view event,
                       const log_fields& fields)>
        log;
};

} // namespace almondtiller::rollout
