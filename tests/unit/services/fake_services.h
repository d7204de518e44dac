#pragma once

#include "fleet/config_source.h"
#include "fleet/upstream_directory.h"
#include "kernel/service.h"
#include "services/claims/claim_registry.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace almondtiller::services {

/// A configuration that never changes.
class fake_config : public kernel::service, public fleet::config_source
{
public:
    explicit fake_config(settings::snapshot_ptr snapshot)
        : snapshot(std::move(snapshot))
    {}

    [[nodiscard]] auto name() const -> std::string_view override
    {
        return fleet::config_service_name;
    }
    auto initialize(kernel::service_kernel&) -> std::error_code override
    {
        return {};
    }
    [[nodiscard]] auto current() const -> settings::snapshot_ptr override
    {
        return this->snapshot;
    }
    auto on_change(change_handler) -> void override
    {}

private:
    settings::snapshot_ptr snapshot;
};

/// An instance list that a test replaces.
class fake_directory : public kernel::service, public fleet::upstream_directory
{
public:
    [[nodiscard]] auto name() const -> std::string_view override
    {
        return fleet::directory_service_name;
    }
    auto initialize(kernel::service_kernel&) -> std::error_code override
    {
        return {};
    }
    [[nodiscard]] auto upstreams() const
        -> std::vector<platform::instance> override
    {
        const auto guard = std::lock_guard(this->mutex);
        return this->listed;
    }
    auto on_change(change_handler handler) -> void override
    {
        this->handlers.push_back(std::move(handler));
    }
    auto list(std::vector<platform::instance> instances) -> void
    {
        {
            const auto guard = std::lock_guard(this->mutex);
            this->listed = std::move(instances);
        }
        for (const auto& handler : this->handlers) {
            handler(this->upstreams());
        }
    }

private:
    mutable std::mutex mutex;
    std::vector<platform::instance> listed;
    std::vector<change_handler> handlers;
};

/// Claims in the memory of one process.
class fake_claims : public kernel::service, public claim_registry
{
public:
    [[nodiscard]] auto name() const -> std::string_view override
    {
        return claims_service_name;
    }
    auto initialize(kernel::service_kernel&) -> std::error_code override
    {
        return {};
    }
    auto acquire(const claim_request& request)
        -> core::result<claim_decision> override
    {
        const auto guard = std::lock_guard(this->mutex);
        const auto found = this->records.find(request.idempotency_key);
        if (found == this->records.end()) {
            this->records[request.idempotency_key] = {claim_end::unknown, ""};
            return claim_decision(claim_granted{request.idempotency_key});
        }
        if (found->second.first == claim_end::completed) {
            return claim_decision(claim_replayed{found->second.second});
        }
        return claim_decision(claim_outcome_unknown{});
    }
    auto finish(const std::string& claim, claim_end end,
                const std::string& answer) -> std::error_code override
    {
        const auto guard = std::lock_guard(this->mutex);
        this->records[claim] = {end, answer};
        if (end == claim_end::not_run) {
            this->records.erase(claim);
        }
        return {};
    }

private:
    std::mutex mutex;
    std::map<std::string, std::pair<claim_end, std::string>> records;
};

} // namespace almondtiller::services
