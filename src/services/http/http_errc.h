#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::services {

/// Why the HTTP server could not serve.
enum class http_errc
{
    address_unavailable = 1,
};

[[nodiscard]] auto http_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(http_errc code) -> std::error_code;

} // namespace almondtiller::services

template <>
struct std::is_error_code_enum<almondtiller::services::http_errc>
    : std::true_type
{};
