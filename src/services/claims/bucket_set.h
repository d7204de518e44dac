#pragma once

#include "services/claims/bucket_shell.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace almondtiller::services {

/// Fixed for good: a key's bucket must be the same for every node.
constexpr auto claim_bucket_count = 64U;

/// Every bucket of a node, with the threads that call the store for them.
class bucket_set
{
public:
    using liveness = std::function<bool(const claims::claim_record& record,
                                        const claims::moment& at)>;

    bucket_set(platform::object_store& store, core::runtime_clock& clock,
               core::metrics_registry& metrics,
               const liveness& is_holder_alive);

    /// \param key From claims::record_key().
    [[nodiscard]] auto for_key(const std::string& key) -> bucket_shell&;

    auto advance() -> void;
    [[nodiscard]] auto pending() const -> std::size_t;

    /// Ends the store calls; decisions that still wait stay undecided.
    auto stop() -> void;

private:
    std::deque<bucket_shell> buckets;
    /// Destroyed before the buckets that its threads use.
    std::unique_ptr<store_executor> executor;
};

} // namespace almondtiller::services
