#pragma once

#include "core/metrics.h"

namespace almondtiller::services {

inline constexpr auto orders_sent =
    core::metric_info{"almondtiller_orders_total", core::metric_kind::counter,
                      "Orders to engines by result."};

inline constexpr auto lease_store_calls = core::metric_info{
    "almondtiller_lease_store_calls_total", core::metric_kind::counter,
    "Calls to the platform's store for the lease by call and result."};

inline constexpr auto lease_held =
    core::metric_info{"almondtiller_lease_held", core::metric_kind::gauge,
                      "1 while this node holds its region's lease, else 0."};

} // namespace almondtiller::services
