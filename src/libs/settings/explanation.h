#pragma once

#include "core/result.h"
#include "settings/tree.h"

#include <string>

namespace almondtiller::settings {

/// Where an effective value comes from.
struct explanation
{
    std::string path;  ///< The key path that was asked for.
    std::string value; ///< As JSON.
    /// The path of the declaration that sets it, like root/max_attempts;
    /// empty when the default applies.
    std::string origin;
    std::string help;

    auto operator==(const explanation&) const -> bool = default;
};

/// Finds the effective value of a key path like
/// pipelines/redraft/stages/draft/max_tokens, pools/engines/queue_limit or
/// root/gossip_interval.
/// \return settings_errc::missing_reference when nothing of that name is
///         declared, settings_errc::unknown_key when it has no such setting.
[[nodiscard]] auto explain(const declaration_tree& tree,
                           const std::string& path)
    -> core::result<explanation>;

} // namespace almondtiller::settings
