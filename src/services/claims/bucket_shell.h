#pragma once

#include "claims/claims.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "platform/object_store.h"
#include "services/claims/store_executor.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace almondtiller::services {

/// Carries one claims::claim_bucket: executes its store calls and wakes the
/// threads that wait for its decisions. Thread-safe.
class bucket_shell
{
public:
    bucket_shell(std::string object_name,
                 claims::bucket_environment environment,
                 platform::object_store& store, store_executor& executor,
                 core::runtime_clock& clock, core::metrics_registry& metrics);

    /// Blocks until the claim is decided.
    auto want(const claims::claim_wanted& wanted) -> claims::claim_decided;

    /// Queues an end and waits for its record, at most \a patience.
    /// \return Whether the end is known to be in the store.
    auto finish(const std::string& key, const claims::claim_record& end,
                core::milliseconds patience) -> bool;

    /// Handles what time alone brings.
    auto advance() -> void;

    [[nodiscard]] auto pending() const -> std::size_t;

private:
    auto perform(const claims::bucket_actions& actions) -> void;
    auto submit(const claims::read_bucket& call) -> void;
    auto submit(const claims::write_bucket& call) -> void;
    auto count(const char* call, const std::error_code& error) -> void;
    [[nodiscard]] auto at() const -> claims::moment;

    platform::object_key object;
    platform::object_store& store;
    store_executor& executor;
    core::runtime_clock& clock;
    core::metrics_registry& metrics;

    mutable std::mutex mutex;
    std::condition_variable changed;
    claims::claim_bucket bucket;
    std::map<std::string, claims::claim_decided> decided;
    std::set<std::string> waiting_for_end;
};

} // namespace almondtiller::services
