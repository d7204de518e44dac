#pragma once

#include "core/metrics.h"
#include "kernel/service.h"
#include "services/claims/claim_registry.h"

#include <memory>

namespace almondtiller::services {

/// Keeps claims in the platform's object store, in a fixed number of buckets
/// (objects of the kind "claim"), so that the claims and ends of concurrent
/// requests share writes. Thread-safe.
class claims_service : public kernel::service, public claim_registry
{
public:
    claims_service();
    ~claims_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;

    /// Waits a bounded time for the ends that are not in the store yet.
    auto about_to_shutdown() -> void override;

    auto acquire(const claim_request& request)
        -> core::result<claim_decision> override;
    auto finish(const std::string& claim, claim_end end,
                const std::string& answer) -> std::error_code override;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::services
