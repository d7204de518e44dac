#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>

namespace almondtiller::orders {

/// What the store keeps about a region's lease.
struct lease_value
{
    std::string holder; ///< Empty after a release.
    std::uint64_t incarnation = 0;
    /// Grows with each change of the holder; orders carry it.
    std::uint64_t fencing = 0;
    /// Grows with each renewal, so that a write can be recognized.
    std::uint64_t renewal = 0;
    std::uint64_t duration_ms = 0;

    auto operator==(const lease_value&) const -> bool = default;
};

[[nodiscard]] auto encode(const lease_value& value) -> std::string;

/// \return platform_errc::malformed_answer when the text is no lease.
[[nodiscard]] auto decode_lease(const std::string& text)
    -> core::result<lease_value>;

} // namespace almondtiller::orders
