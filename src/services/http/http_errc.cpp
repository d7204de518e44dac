#include "services/http/http_errc.h"

#include <array>

namespace almondtiller::services {

namespace {

constexpr auto entries = std::array{
    core::error_entry{int(http_errc::address_unavailable),
                      "address_unavailable",
                      "the address or port cannot be listened on"},
};

} // namespace

auto http_category() -> const core::table_category&
{
    static const auto category = core::table_category("http", entries);
    return category;
}

auto make_error_code(http_errc code) -> std::error_code
{
    return {int(code), http_category()};
}

} // namespace almondtiller::services
