#pragma once

#include "core/random.h"
#include "fleet/config_source.h"
#include "kernel/service.h"
#include "kernel/status_provider.h"
#include "services/claims/claim_registry.h"
#include "services/execution/executor.h"
#include "services/execution/run_costs.h"
#include "services/upstreams/attempt_runner.h"

#include <memory>
#include <mutex>
#include <optional>

namespace almondtiller::services {

/// Runs requests: claims idempotency keys, carries out the actions of each
/// pipeline_run and counts what it cost.
class execution_service : public kernel::service,
                          public executor,
                          public kernel::status_provider
{
public:
    execution_service();

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;

    [[nodiscard]] auto check(const api::run_request& request) const
        -> std::error_code override;
    auto run(const api::run_request& request, const run_hooks& hooks)
        -> run_conclusion override;

    [[nodiscard]] auto status() const -> std::string override;

private:
    struct execution;

    [[nodiscard]] auto make_execution(const api::run_request& request,
                                      const run_hooks& hooks) -> execution;
    auto run_claimed(execution& executed) -> run_conclusion;
    auto drive(execution& executed) -> run_conclusion;
    auto attempt(execution& executed, const pipeline::start_attempt& wanted)
        -> pipeline::run_actions;
    [[nodiscard]] auto conclude(execution& executed) -> run_conclusion;
    auto fail(const core::request_id& request, std::error_code code,
              api::failed_outcome outcome, core::duration retry_after)
        -> api::problem;
    [[nodiscard]] auto next_seed() -> std::uint64_t;

    const core::runtime_clock* clock = nullptr;
    fleet::config_source* config = nullptr;
    attempt_runner* runner = nullptr;
    claim_registry* claims = nullptr;
    std::unique_ptr<run_costs> costs;
    std::mutex random_mutex;
    core::random_source random;
};

} // namespace almondtiller::services
