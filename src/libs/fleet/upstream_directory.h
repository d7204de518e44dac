#pragma once

#include "platform/object_store.h"

#include <functional>
#include <vector>

namespace almondtiller::fleet {

/// Provides the upstream instances that the platform lists. Implemented by the
/// service "directory".
class upstream_directory
{
public:
    using change_handler =
        std::function<void(const std::vector<platform::instance>&)>;

    upstream_directory() = default;
    virtual ~upstream_directory() = default;
    upstream_directory(const upstream_directory&) = delete;
    auto operator=(const upstream_directory&) -> upstream_directory& = delete;

    /// \return The upstreams of the newest list, sorted by id.
    [[nodiscard]] virtual auto upstreams() const
        -> std::vector<platform::instance> = 0;

    /// Calls \a handler after each change, on any thread.
    virtual auto on_change(change_handler handler) -> void = 0;
};

/// The name of the service that implements upstream_directory.
constexpr auto directory_service_name = "directory";

} // namespace almondtiller::fleet
