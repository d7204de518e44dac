#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Largest text that unpack() gives; a configuration holds 1 MiB at the most,
/// and a page holds few objects of that size.
inline constexpr auto largest_snapshot = std::size_t(16) << 20U;

/// Compresses what nodes tell each other of the store (zlib, RFC 1950). Load
/// pattern: a configuration of a megabyte goes to hundreds of nodes over links
/// of 10 Mbit/s, and takes a tenth of that compressed.
/// \return fleet_errc::message_too_large if the library can't.
[[nodiscard]] auto pack(std::string_view text) -> core::result<std::string>;

/// \return fleet_errc::malformed_message for anything that pack() has not made
///         or that is larger than \a largest_snapshot.
[[nodiscard]] auto unpack(std::string_view bytes) -> core::result<std::string>;

} // namespace almondtiller::gateway
