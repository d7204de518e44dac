#pragma once

#include "rollout/report.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace almondtiller::rollout {

/// Requests sent to a service since the order.
struct sent_totals
{
    std::uint64_t sent = 0;
    std::uint64_t sent_new = 0;

    auto operator==(const sent_totals&) const -> bool = default;
};

using answers_by_key = std::map<sample_key, answer_counts>;

/// Sums the cumulative reports of all nodes, over restarts of the nodes. Load
/// pattern: nodes restart or vanish while a version is tried, and reports are
/// lost or late.
class report_ledger
{
public:
    /// \return What the node has counted since its last report; nothing if the
    ///         report is older than one that was taken.
    auto take(node_report report) -> std::optional<answers_by_key>;

    /// \return The sums over all nodes and incarnations that ever reported.
    [[nodiscard]] auto totals() const -> sent_totals;

    /// \return The last report of the last incarnation; null if there is none.
    [[nodiscard]] auto latest(const core::node_id& node) const
        -> const node_report*;

    [[nodiscard]] auto has_all(const std::set<core::node_id>& nodes) const
        -> bool;

    /// \return Work that the nodes have open at old upstreams.
    [[nodiscard]] auto open_at_old(const std::set<core::node_id>& nodes) const
        -> std::uint64_t;

private:
    struct node_history
    {
        std::string incarnation;
        std::map<std::string, node_report> reports;
    };

    std::map<core::node_id, node_history> nodes;
};

} // namespace almondtiller::rollout
