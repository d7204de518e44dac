#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "orders/placement_planner.h"
#include "services/orders/engine_errc.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace almondtiller::services {

/// What an engine reports of itself, as far as placement needs it.
struct engine_report
{
    bool is_loading = false;
    orders::desired_state state;

    auto operator==(const engine_report&) const -> bool = default;
};

/// Asked directly before an order's body is written.
/// \return The fencing number, or nothing when the order may not be sent.
using order_permit = std::function<std::optional<std::uint64_t>()>;

/// Reads GET /v1/load of an engine.
/// \param address IP and port.
[[nodiscard]] auto fetch_report(const std::string& address,
                                core::milliseconds timeout)
    -> core::result<engine_report>;

/// Sends POST /v1/orders to an engine. The connection is opened and the
/// request's head is written before the permit is asked, so that little time
/// passes between the permit and the order.
[[nodiscard]] auto send_order(const std::string& address,
                              const std::string& order_id,
                              const orders::desired_state& desired,
                              const order_permit& permit,
                              core::milliseconds timeout) -> std::error_code;

} // namespace almondtiller::services
