#pragma once

#include "settings/snapshot.h"

#include <functional>

namespace almondtiller::fleet {

/// Provides the configuration in force at this node. Implemented by the
/// service "config".
class config_source
{
public:
    using change_handler = std::function<void(settings::snapshot_ptr)>;

    config_source() = default;
    virtual ~config_source() = default;
    config_source(const config_source&) = delete;
    auto operator=(const config_source&) -> config_source& = delete;

    /// \return The snapshot in force, never null; revision 0 before the first
    ///         configuration.
    [[nodiscard]] virtual auto current() const -> settings::snapshot_ptr = 0;

    /// Calls \a handler at once with the snapshot in force, if there is one,
    /// and later with each newer snapshot, in order and one call at a time.
    virtual auto on_change(change_handler handler) -> void = 0;
};

/// The name of the service that implements config_source.
constexpr auto config_service_name = "config";

} // namespace almondtiller::fleet
