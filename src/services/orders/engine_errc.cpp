#include "services/orders/engine_errc.h"

#include <array>

namespace almondtiller::services {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(engine_errc::unreachable), "engine_unreachable",
                "the engine could not be reached"},
    error_entry{int(engine_errc::not_permitted), "order_not_permitted",
                "the lease does not allow an order now"},
    error_entry{int(engine_errc::stale_fencing), "stale_fencing",
                "the engine knows a newer fencing number"},
    error_entry{int(engine_errc::rejected), "order_rejected",
                "the engine rejected the order"},
    error_entry{int(engine_errc::outcome_unknown), "order_outcome_unknown",
                "the order was sent and no answer came"},
    error_entry{int(engine_errc::malformed_answer), "malformed_report",
                "the engine's report could not be understood"},
};

} // namespace

auto engine_category() -> const core::table_category&
{
    static const auto category = core::table_category("engine", entries);
    return category;
}

auto make_error_code(engine_errc code) -> std::error_code
{
    return {int(code), engine_category()};
}

} // namespace almondtiller::services
