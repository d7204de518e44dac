#pragma once

#include "standin/upstream_model.h"

#include <optional>
#include <string>

namespace almondtiller::standin {

/// The command line of an upstream stand-in.
struct upstream_flags
{
    std::string listen = "127.0.0.1:0";
    std::string journal_path;
    upstream_options options;
};

/// \return Nothing after --help or a mistake, which are printed.
auto parse_upstream_flags(int argc, char** argv,
                          const std::string& default_kind)
    -> std::optional<upstream_flags>;

} // namespace almondtiller::standin
