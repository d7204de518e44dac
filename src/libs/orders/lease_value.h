#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>

namespace almondtiller::orders {

/// The stored state of a region's lease.
struct lease_value
{
    std::string holder; ///< Identity of the node; empty after a release.
    std::uint64_t incarnation = 0;
    /// Fencing token, sent with each order. Increases by one each time a node
    /// acquires the lease.
    std::uint64_t fencing = 0;
    /// Increases with each write, so that a node can recognize its own write
    /// when it reads the lease back.
    std::uint64_t renewal = 0;
    std::uint64_t duration_ms = 0;

    auto operator==(const lease_value&) const -> bool = default;
};

[[nodiscard]] auto encode(const lease_value& value) -> std::string;

/// \return platform_errc::malformed_answer when \a text is not an encoded
///         lease.
[[nodiscard]] auto decode_lease(const std::string& text)
    -> core::result<lease_value>;

} // namespace almondtiller::orders
