#pragma once

#include "fleet/member.h"
#include "settings/snapshot.h"

#include <string>
#include <vector>

namespace almondtiller::services {

/// The member of a status that GET /v1/top gives.
constexpr auto top_member = "top";

/// What a node says of itself.
struct node_facts
{
    fleet::member identity;
    std::string state; ///< serving, starting, isolated or leaving.
    settings::snapshot_ptr configuration;
};

/// Merges what the node and its services say into the answer to
/// GET /v1/status. Texts that are not JSON objects are left out.
[[nodiscard]] auto status_document(const node_facts& facts,
                                   const std::vector<std::string>& parts)
    -> std::string;

/// \return The answer to GET /v1/top.
[[nodiscard]] auto top_document(const node_facts& facts,
                                const std::vector<std::string>& parts)
    -> std::string;

} // namespace almondtiller::services
