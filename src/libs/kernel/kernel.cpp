#include "kernel/kernel.h"

#include <algorithm>

namespace almondtiller::kernel {

service_kernel::service_kernel() = default;

service_kernel::~service_kernel()
{
    this->shutdown();
    while (!this->order.empty()) {
        const auto* last = this->order.back();
        this->order.pop_back();
        std::erase_if(this->services, [last](const auto& owned) {
            return owned.get() == last;
        });
    }
}

auto service_kernel::add(std::unique_ptr<service> added) -> std::error_code
{
    if (this->find_service(added->name()) != nullptr) {
        this->failed = added->name();
        return kernel_errc::duplicate_name;
    }
    this->services.push_back(std::move(added));
    return {};
}

auto service_kernel::start() -> std::error_code
{
    if (const auto error = this->resolve_order()) {
        return error;
    }
    for (auto* next : this->order) {
        if (const auto error = next->initialize(*this)) {
            this->failed = next->name();
            this->shutdown();
            return error;
        }
        this->started.push_back(next);
    }
    for (auto* next : this->order) {
        if (const auto error = next->services_initialized(*this)) {
            this->failed = next->name();
            this->shutdown();
            return error;
        }
    }
    return {};
}

auto service_kernel::shutdown() -> void
{
    while (!this->started.empty()) {
        auto* last = this->started.back();
        last->about_to_shutdown();
        this->started.pop_back();
    }
}

auto service_kernel::failed_service() const -> const std::string&
{
    return this->failed;
}

auto service_kernel::clock() -> core::runtime_clock&
{
    return this->runtime_clock;
}

auto service_kernel::metrics() -> core::metrics_registry&
{
    return this->registry;
}

auto service_kernel::find_service(std::string_view name) const -> service*
{
    for (const auto& owned : this->services) {
        if (owned->name() == name) {
            return owned.get();
        }
    }
    return nullptr;
}

auto service_kernel::resolve_order() -> std::error_code
{
    this->order.clear();
    auto path = std::vector<service*>();
    for (const auto& owned : this->services) {
        if (const auto error = this->visit(owned.get(), path)) {
            return error;
        }
    }
    return {};
}

auto service_kernel::visit(service* visited, std::vector<service*>& path)
    -> std::error_code
{
    if (std::ranges::find(this->order, visited) != this->order.end()) {
        return {};
    }
    if (std::ranges::find(path, visited) != path.end()) {
        this->failed = visited->name();
        return kernel_errc::dependency_cycle;
    }
    path.push_back(visited);
    for (const auto& needed : visited->dependencies()) {
        auto* dependency = this->find_service(needed);
        if (dependency == nullptr) {
            this->failed = visited->name();
            return kernel_errc::missing_service;
        }
        if (const auto error = this->visit(dependency, path)) {
            return error;
        }
    }
    path.pop_back();
    this->order.push_back(visited);
    return {};
}

} // namespace almondtiller::kernel
