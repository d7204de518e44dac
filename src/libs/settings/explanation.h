#pragma once

#include "core/result.h"
#include "settings/tree.h"

#include <string>

namespace almondtiller::settings {

/// An effective value and the declaration that sets it.
struct explanation
{
    std::string path;  ///< The requested key path.
    std::string value; ///< As JSON.
    /// Path of the declaration that sets the value, such as
    /// root/max_attempts; empty when the default applies.
    std::string origin;
    std::string help;

    auto operator==(const explanation&) const -> bool = default;
};

/// Looks up the effective value of a key path, such as
/// pipelines/redraft/stages/draft/max_tokens, pools/engines/queue_limit or
/// root/gossip_interval.
/// \return settings_errc::missing_reference when the path names no existing
///         declaration, settings_errc::unknown_key when the declaration has no
///         such setting.
[[nodiscard]] auto explain(const declaration_tree& tree,
                           const std::string& path)
    -> core::result<explanation>;

} // namespace almondtiller::settings
