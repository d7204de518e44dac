#pragma once

#include "core/clock.h"
#include "core/metrics.h"
#include "fleet/peer_bus.h"
#include "services/claims/bucket_set.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace almondtiller::services {

/// Sends claims and ends to the owner of their bucket, the live member with
/// the highest rendezvous rank for it, so that a bucket has one writer as
/// long as nodes agree on the members. Where the owner does not answer, this
/// node writes the bucket itself; the store's conditional updates keep that
/// safe. Thread-safe; calls block.
class claim_router
{
public:
    claim_router(fleet::peer_bus& peers, bucket_set& buckets,
                 core::runtime_clock& clock, core::metrics_registry& metrics);

    /// Takes the topics of the peers; before peers may send.
    auto handle_topics() -> void;

    /// \param second_claim Another unique id, for the try at this node after
    ///        an owner that did not answer.
    auto want(claims::claim_wanted wanted, const std::string& second_claim)
        -> claims::claim_decided;

    /// Records the end of a granted claim; does not wait for it.
    auto finish(const std::string& key, const claims::claim_record& end)
        -> void;

    /// Records at this node the ends that an owner has not confirmed in time.
    auto advance() -> void;

    /// \return Ends that are not known to be in the store.
    [[nodiscard]] auto unrecorded_count() const -> std::size_t;

private:
    struct unrecorded_end
    {
        std::string key;
        claims::claim_record end;
        core::time_point retry_at;
    };

    [[nodiscard]] auto owner_of(const std::string& key) const -> core::node_id;
    auto want_here(const claims::claim_wanted& wanted) -> claims::claim_decided;
    auto want_at(const core::node_id& owner, const claims::claim_wanted& wanted)
        -> std::optional<claims::claim_decided>;
    auto finish_here(const std::string& key, const claims::claim_record& end)
        -> void;
    auto release(const std::string& key, const claims::claim_decided& decided)
        -> void;

    auto on_want(const core::node_id& sender, const std::string& body)
        -> core::result<std::string>;
    auto on_decided(const std::string& body) -> core::result<std::string>;
    auto on_end(const core::node_id& sender, const std::string& body)
        -> core::result<std::string>;
    auto on_recorded(const std::string& body) -> core::result<std::string>;
    auto send(const core::node_id& target, const char* topic,
              const std::string& body, std::function<void()> on_failure)
        -> void;
    auto note_failed(const std::string& claim) -> void;
    auto note_decided(const claims::claim_decided& decided) -> bool;
    auto note_recorded(const std::string& claim) -> void;
    auto wait_for_decision(const std::string& claim, core::time_point limit)
        -> std::optional<claims::claim_decided>;
    auto count(const char* route) -> void;

    fleet::peer_bus& peers;
    bucket_set& buckets;
    core::runtime_clock& clock;
    core::metrics_registry& metrics;

    mutable std::mutex mutex;
    std::condition_variable changed;
    /// Claims that a thread waits for.
    std::set<std::string> waiting;
    std::map<std::string, claims::claim_decided> decided;
    std::map<std::string, unrecorded_end> unrecorded;
    /// Claims whose message to the owner failed while a thread waits.
    std::set<std::string> failed;
};

} // namespace almondtiller::services
