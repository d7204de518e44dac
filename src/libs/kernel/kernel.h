#pragma once

/// Entry header of the kernel package: manages services that look each other
/// up by name, with ordered start and shutdown. The kernel must be used from
/// the main thread; services synchronize access to their own state.

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

/// Owns the services of a process, their clock and their metrics registry.
class service_kernel
{
public:
    service_kernel();
    ~service_kernel();
    service_kernel(const service_kernel&) = delete;
    auto operator=(const service_kernel&) -> service_kernel& = delete;

    /// Adds a service.
    /// \return kernel_errc::duplicate_name if its name is already in use.
    auto add(std::unique_ptr<service> added) -> std::error_code;

    /// Orders the services by their dependencies, then calls initialize() of
    /// all services and after that services_initialized() of all, in that
    /// order. If a call fails, the services already initialized are shut down.
    /// \return kernel_errc::missing_service, kernel_errc::dependency_cycle or
    ///         the error of the step that failed.
    auto start() -> std::error_code;

    /// Calls about_to_shutdown() in reverse start order. Idempotent.
    auto shutdown() -> void;

    /// \return The service called \a name as \a Interface; null if there is
    ///         none or it does not implement the interface.
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

    /// \return The name of the service for which add() or start() failed; empty
    ///         if none did.
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
