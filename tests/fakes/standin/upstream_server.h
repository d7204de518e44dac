#pragma once

#include <string>

namespace almondtiller::standin {

/// Runs an upstream stand-in from its command line.
/// \param default_kind The stage kind when no --kind is given.
/// \return The exit status of the program.
auto run_upstream(int argc, char** argv, const std::string& default_kind)
    -> int;

} // namespace almondtiller::standin
