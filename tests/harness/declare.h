#pragma once

#include <string>

namespace almondtiller::harness {

/// Publishes a folder of declarations on a platform.
/// \return Whether they were accepted.
auto declare_settings(const std::string& platform_address,
                      const std::string& folder) -> bool;

/// Takes a zone out or back in.
/// \return Whether the change was accepted.
auto declare_zone_state(const std::string& platform_address,
                        const std::string& zone, bool is_in) -> bool;

} // namespace almondtiller::harness
