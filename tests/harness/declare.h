#pragma once

#include <string>

namespace almondtiller::harness {

/// Writes a folder of declarations to an empty platform as revision 1, in the
/// layout of docs/PROTOCOLS.md.
/// \return Whether every write was taken.
auto declare_settings(const std::string& platform_address,
                      const std::string& folder) -> bool;

} // namespace almondtiller::harness
