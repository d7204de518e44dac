#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace almondtiller::kernel {

class service_kernel;

/// A part of a process with a name, dependencies and an ordered life.
class service
{
public:
    service() = default;
    virtual ~service() = default;
    service(const service&) = delete;
    auto operator=(const service&) -> service& = delete;

    /// \return The name by which others find this service.
    [[nodiscard]] virtual auto name() const -> std::string_view = 0;

    /// \return The names of the services that must start before this one.
    [[nodiscard]] virtual auto dependencies() const -> std::vector<std::string>
    {
        return {};
    }

    /// Sets up the service's own state; others must not be used yet.
    virtual auto initialize(service_kernel& kernel) -> std::error_code = 0;

    /// Looks other services up by name and connects to them.
    virtual auto services_initialized(service_kernel& kernel) -> std::error_code
    {
        static_cast<void>(kernel);
        return {};
    }

    /// Finishes the work under way. Dependencies still run.
    virtual auto about_to_shutdown() -> void
    {}
};

} // namespace almondtiller::kernel
