#include "fairness/bounded_names.h"

namespace almondtiller::fairness {

bounded_names::bounded_names(std::size_t max_names) : limit(max_names)
{}

auto bounded_names::name_for(const core::workspace_name& workspace)
    -> std::string
{
    if (workspace.empty()) {
        return "none";
    }
    if (this->named.contains(workspace)) {
        return workspace.str();
    }
    if (this->named.size() >= this->limit) {
        return "other";
    }
    this->named.insert(workspace);
    return workspace.str();
}

} // namespace almondtiller::fairness
