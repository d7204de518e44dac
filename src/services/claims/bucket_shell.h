#pragma once

#include "claims/claims.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "platform/object_store.h"
#include "services/claims/store_executor.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace almondtiller::services {

/// Carries one claims::claim_bucket: executes its store calls and passes its
/// decisions on. Thread-safe; handlers are called without the lock, on the
/// thread that learned the result.
class bucket_shell
{
public:
    using decided_handler = std::function<void(const claims::claim_decided&)>;
    using recorded_handler = std::function<void(const std::string& claim)>;

    bucket_shell(std::string object_name,
                 claims::bucket_environment environment,
                 platform::object_store& store, store_executor& executor,
                 core::runtime_clock& clock, core::metrics_registry& metrics);

    /// Decides a claim; \a decided is called exactly once.
    auto want(const claims::claim_wanted& wanted, decided_handler decided)
        -> void;

    /// Records an end; \a recorded is called once the store has it.
    auto finish(const std::string& key, const claims::claim_record& end,
                recorded_handler recorded) -> void;

    /// Handles what time alone brings.
    auto advance() -> void;

    [[nodiscard]] auto pending() const -> std::size_t;

private:
    using notifications = std::vector<std::function<void()>>;

    auto perform(const claims::bucket_actions& actions) -> notifications;
    auto notify(const claims::claim_decided& decided) -> std::function<void()>;
    auto notify(const claims::end_recorded& end) -> std::function<void()>;
    auto read() -> void;
    auto write(const claims::write_bucket& call) -> void;
    auto count(const char* call, const std::error_code& error) -> void;
    [[nodiscard]] auto at() const -> claims::moment;

    platform::object_key object;
    platform::object_store& store;
    store_executor& executor;
    core::runtime_clock& clock;
    core::metrics_registry& metrics;

    mutable std::mutex mutex;
    claims::claim_bucket bucket;
    std::map<std::string, decided_handler> waiting_claims;
    std::map<std::string, recorded_handler> waiting_ends;
};

} // namespace almondtiller::services
