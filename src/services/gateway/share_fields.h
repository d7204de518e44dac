#pragma once

#include "fairness/fair_queue_order.h"

#include <cmath>
#include <optional>
#include <string>

namespace almondtiller::gateway {

/// What a workspace gets, as text for log lines; empty unless workspaces share
/// the capacity.
struct share_fields
{
    /// Percent of what was recently dispatched at the priority.
    std::string share;
    /// Percent that its weight gives it among the waiting workspaces.
    std::string entitled;
    /// Its waiting requests or works.
    std::string waiting;

    auto operator==(const share_fields&) const -> bool = default;
};

[[nodiscard]] inline auto
describe(const std::optional<fairness::workspace_share>& share) -> share_fields
{
    if (!share) {
        return {};
    }
    const auto percent = [](double part) {
        return std::to_string(std::lround(part * 100));
    };
    return {percent(share->share), percent(share->entitled),
            std::to_string(share->waiting)};
}

} // namespace almondtiller::gateway
