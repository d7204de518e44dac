#include "kernel/kernel_errc.h"

#include <array>

namespace almondtiller::kernel {

namespace {

constexpr auto entries = std::array{
    core::error_entry{int(kernel_errc::duplicate_name), "duplicate_name",
                      "two services have the same name"},
    core::error_entry{int(kernel_errc::missing_service), "missing_service",
                      "a service depends on one that is not loaded"},
    core::error_entry{int(kernel_errc::dependency_cycle), "dependency_cycle",
                      "services depend on each other in a cycle"},
};

} // namespace

auto kernel_category() -> const core::table_category&
{
    static const auto category = core::table_category("kernel", entries);
    return category;
}

auto make_error_code(kernel_errc code) -> std::error_code
{
    return {int(code), kernel_category()};
}

} // namespace almondtiller::kernel
