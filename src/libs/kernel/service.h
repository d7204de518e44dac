#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace almondtiller::kernel {

class service_kernel;

/// A named component of a process with dependencies and a managed life cycle.
class service
{
public:
    service() = default;
    virtual ~service() = default;
    service(const service&) = delete;
    auto operator=(const service&) -> service& = delete;

    /// \return The unique name by which other services look this one up.
    [[nodiscard]] virtual auto name() const -> std::string_view = 0;

    /// \return The names of the services that must start before this one.
    [[nodiscard]] virtual auto dependencies() const -> std::vector<std::string>
    {
        return {};
    }

    /// Initializes the service's own state; must not use other services.
    virtual auto initialize(service_kernel& kernel) -> std::error_code = 0;

    /// Looks up other services by name and connects to them.
    virtual auto services_initialized(service_kernel& kernel) -> std::error_code
    {
        static_cast<void>(kernel);
        return {};
    }

    /// Finishes the work in progress. Dependencies are still running.
    virtual auto about_to_shutdown() -> void
    {}
};

} // namespace almondtiller::kernel
