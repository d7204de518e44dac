#pragma once

#include "core/ids.h"

#include <cstddef>
#include <string>
#include <unordered_set>

namespace almondtiller::fairness {

/// Chooses the workspaces that get metrics of their own: the first that are
/// seen, up to a limit. Load pattern: 49,000 workspaces, whose metrics would
/// take more memory than the node has.
class bounded_names
{
public:
    explicit bounded_names(std::size_t limit);

    /// \return The name of the workspace, "none" for work without one, or
    ///         "other" if the limit is reached.
    auto name_for(const core::workspace_name& workspace) -> std::string;

private:
    std::size_t limit;
    std::unordered_set<core::workspace_name> named;
};

} // namespace almondtiller::fairness
