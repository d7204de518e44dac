#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::kernel {

/// Reasons why the kernel could not add or start its services.
enum class kernel_errc
{
    duplicate_name = 1,
    missing_service,
    dependency_cycle,
};

[[nodiscard]] auto kernel_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(kernel_errc code) -> std::error_code;

} // namespace almondtiller::kernel

template <>
struct std::is_error_code_enum<almondtiller::kernel::kernel_errc>
    : std::true_type
{};
