#pragma once

#include "claims/bucket_contents.h"
#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace almondtiller::claims {

/// Maximum size of an answer in the claim record. Longer answers are stored in
/// separate objects.
constexpr auto max_inline_answer_bytes = std::size_t(1024);

/// The time of an event. Decisions use the monotonic time, stored records the
/// wall-clock time in milliseconds since the epoch.
struct moment
{
    core::time_point now;
    std::int64_t wall_ms = 0;

    auto operator==(const moment&) const -> bool = default;
};

/// A request for the exclusive right to execute an idempotency key.
struct claim_wanted
{
    std::string claim; ///< Identifier, unique across nodes and restarts.
    std::string key;   ///< From record_key().
    std::string fingerprint;
    /// The node that executes the request when the claim is granted.
    std::string node;
    std::uint64_t incarnation = 0;
    core::time_point deadline;

    auto operator==(const claim_wanted&) const -> bool = default;
};

/// Outcome of a claim that was decided without an error.
enum class claim_verdict
{
    granted,         ///< The request may be executed.
    replayed,        ///< An earlier execution recorded its answer.
    in_progress,     ///< Another execution of the key is still running.
    outcome_unknown, ///< An earlier execution has an unknown outcome.
};

/// Action: read the bucket's object.
struct read_bucket
{
    auto operator==(const read_bucket&) const -> bool = default;
};

/// Action: write the bucket's object if it still has the expected version, or
/// create it when \a expected is empty.
struct write_bucket
{
    std::optional<std::uint64_t> expected;
    std::string value;

    auto operator==(const write_bucket&) const -> bool = default;
};

/// Notification: a claim was decided. Each requested claim gets exactly one.
struct claim_decided
{
    std::string claim;
    std::error_code error; ///< When set, the request must not be dispatched.
    claim_verdict verdict = claim_verdict::granted;
    claim_record record; ///< Holds the answer when replayed.

    auto operator==(const claim_decided&) const -> bool = default;
};

/// Notification: the end of an execution was written to the store.
struct end_recorded
{
    std::string claim;

    auto operator==(const end_recorded&) const -> bool = default;
};

using bucket_action =
    std::variant<read_bucket, write_bucket, claim_decided, end_recorded>;
using bucket_actions = std::vector<bucket_action>;

/// Configuration and callbacks of a bucket.
struct bucket_environment
{
    /// Returns whether the node that holds a claim may still be executing
    /// it.
    std::function<bool(const claim_record& record, const moment& at)>
        is_holder_alive;
    /// How long a record is kept. A repeated request is detected only within
    /// this period.
    core::milliseconds retention{};
    /// Delay before the next store call after a failed one.
    core::milliseconds retry_pause{};
    std::size_t max_value_bytes = 0;
    /// Minimum time between the starts of two writes. Bounds the load on the
    /// store; claims and ends that arrive in between share the next write.
    core::milliseconds write_interval{};
};

/// Decides the claims of one bucket. At most one store call is in flight; all
/// claims and ends that arrive during the call go into the next write (group
/// commit). When the response to a write is lost, the bucket is read back and
/// written again at the version that was read. Either the read returns the
/// first write, or the second write changes the version, so that the first
/// one can no longer meet its precondition.
class claim_bucket
{
public:
    explicit claim_bucket(bucket_environment environment);

    /// Requests a claim. The claim_decided action follows from this or a
    /// later call.
    auto want(const claim_wanted& wanted, const moment& at) -> bucket_actions;

    /// Records the end of the execution of a granted claim. A record in state
    /// claimed means that the request was not executed and releases the key.
    auto finish(const std::string& key, const claim_record& end,
                const moment& at) -> bucket_actions;

    /// Handles the result of a read_bucket action.
    /// \param value The object's version and text, or the error; not_found
    ///              means that the bucket is empty.
    auto
    was_read(const core::result<std::pair<std::uint64_t, std::string>>& value,
             const moment& at) -> bucket_actions;

    /// Handles the result of a write_bucket action.
    /// \param version The version of the written object, or the error.
    auto was_written(const core::result<std::uint64_t>& version,
                     const moment& at) -> bucket_actions;

    /// Rejects claims whose deadline has passed and retries failed store
    /// calls.
    auto advance(const moment& at) -> bucket_actions;

    /// \return When advance() must be called next; empty when no timer is
    ///         pending.
    [[nodiscard]] auto next_timer() const -> std::optional<core::time_point>;

    /// \return The number of undecided claims and unrecorded ends.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    struct pending_claim
    {
        claim_wanted wanted;
        bool needs_fresh_read = false;
        /// Whether the bucket was read after the claim was requested.
        bool has_fresh_read = false;
    };
    struct pending_end
    {
        std::string key;
        claim_record record;
        bool is_release = false;
    };
    struct write_in_flight
    {
        bucket_contents contents;
        std::vector<std::string> claims;
        std::vector<std::string> ends;
    };

    auto start_next_call(const moment& at, bucket_actions& actions) -> void;
    auto decide_from_cache(const moment& at, bucket_actions& actions) -> void;
    [[nodiscard]] auto decide_claim(const pending_claim& pending,
                                    const claim_record& stored,
                                    const moment& at) const
        -> std::optional<claim_decided>;
    auto start_write(const moment& at, bucket_actions& actions) -> void;
    auto reject_pending(std::error_code reason, bucket_actions& actions)
        -> void;
    auto abandon(const std::string& claim, const std::string& key) -> void;
    [[nodiscard]] auto has_record(const std::string& claim,
                                  const std::string& key) const -> bool;
    auto discard_cache() -> void;
    auto apply_ends(write_in_flight& write) const -> void;
    auto apply_claims(const moment& at, write_in_flight& write,
                      bucket_actions& actions) -> void;

    bucket_environment environment;
    bool is_cached = false;
    std::optional<std::uint64_t> version;
    bucket_contents contents;

    bool is_reading = false;
    std::optional<write_in_flight> writing;
    /// An earlier write with an unknown outcome may still take effect; cleared
    /// by the next successful write.
    bool has_unconfirmed_write = false;
    std::optional<core::time_point> retry_at;
    core::time_point next_write;
    bool is_write_delayed = false; ///< A write is delayed until next_write.

    std::map<std::string, pending_claim> claims;
    std::map<std::string, pending_end> ends;
    /// Claims that were rejected while a write that contained them could still
    /// take effect, with their record keys. The next write removes them.
    std::map<std::string, std::string> abandoned;
};

} // namespace almondtiller::claims
