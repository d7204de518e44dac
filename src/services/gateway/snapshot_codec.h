#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Maximum size in bytes of the text that decompress() returns. A configuration
/// has at most 1 MiB, and a page contains few objects of that size.
inline constexpr auto max_snapshot_bytes = std::size_t(16) << 20U;

/// Compresses a snapshot of store objects that nodes exchange (zlib, RFC 1950).
/// Load pattern: a configuration of a megabyte is sent to hundreds of nodes
/// over links of 10 Mbit/s; compressed it has a tenth of its size.
/// \return fleet_errc::message_too_large if the library cannot compress it.
[[nodiscard]] auto compress(std::string_view text) -> core::result<std::string>;

/// Decompresses the result of compress().
/// \return fleet_errc::malformed_message for other input, or if the text is
///         larger than \a max_snapshot_bytes.
[[nodiscard]] auto decompress(std::string_view bytes)
    -> core::result<std::string>;

} // namespace almondtiller::gateway
