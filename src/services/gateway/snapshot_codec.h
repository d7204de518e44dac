#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Requests the objects of one kind from another node.
struct snapshot_request
{
    /// Index of the kind.
    std::size_t kind = 0;
    /// Number of the revision since which changes are requested; full_list
    /// requests all objects.
    std::int64_t since = 0;
    /// Whether the sender reads compressed answers.
    bool may_compress = false;
    /// Era of the revision; earlier versions of the program send none.
    std::optional<std::int64_t> era;

    auto operator==(const snapshot_request&) const -> bool = default;
};

[[nodiscard]] auto encode_snapshot_request(const snapshot_request& request)
    -> std::string;
/// \return The request; its kind is the largest number if \a text cannot be
///         read.
[[nodiscard]] auto decode_snapshot_request(const std::string& text)
    -> snapshot_request;

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
