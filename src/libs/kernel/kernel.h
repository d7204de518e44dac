#pragma once

/// Entry header of the kernel package: services that find each other by name,
/// with an ordered start and shutdown. The kernel is used from the main
/// thread; services protect their own state.

#include "core/clock.h"
#include "core/metrics.h"
#include "core/result.h"
#include "kernel/kernel_errc.h"
#include "kernel/service.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::kernel {

/// Owns the services of a process and what they all share.
class service_kernel
{
public:
    service_kernel();
    ~service_kernel();
    service_kernel(const service_kernel&) = delete;
    auto operator=(const service_kernel&) -> service_kernel& = delete;

    /// Takes a service in. Its name must be new.
    /// \return kernel_errc::duplicate_name otherwise.
    auto add(std::unique_ptr<service> added) -> std::error_code;

    /// Orders the services by their dependencies, then runs initialize() and
    /// services_initialized() of each in that order. On a failure the ones
    /// already started are shut down again.
    /// \return kernel_errc::missing_service, kernel_errc::dependency_cycle or
    ///         the error of the step that failed.
    auto start() -> std::error_code;

    /// Runs about_to_shutdown() in reverse order. Idempotent.
    auto shutdown() -> void;

    /// \return The service of that name as \a Interface, or null when there
    ///         is none or it does not implement the interface.
    template <typename Interface>
    [[nodiscard]] auto find(std::string_view name) const -> Interface*
    {
        return dynamic_cast<Interface*>(this->find_service(name));
    }

    /// \return Every service that implements \a Interface, in the order in
    ///         which they were added.
    template <typename Interface>
    [[nodiscard]] auto find_all() const -> std::vector<Interface*>
    {
        auto found = std::vector<Interface*>();
        for (const auto& owned : this->services) {
            if (auto* match = dynamic_cast<Interface*>(owned.get())) {
                found.push_back(match);
            }
        }
        return found;
    }

    /// \return The name of the service whose step failed in start().
    [[nodiscard]] auto failed_service() const -> const std::string&;

    [[nodiscard]] auto clock() -> core::runtime_clock&;
    [[nodiscard]] auto metrics() -> core::metrics_registry&;

private:
    [[nodiscard]] auto find_service(std::string_view name) const -> service*;
    auto resolve_order() -> std::error_code;
    auto visit(service* visited, std::vector<service*>& path)
        -> std::error_code;

    core::runtime_clock runtime_clock;
    core::metrics_registry registry;
    std::vector<std::unique_ptr<service>> services;
    std::vector<service*> order;
    std::vector<service*> started;
    std::string failed;
};

} // namespace almondtiller::kernel
