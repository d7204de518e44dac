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

/// Longer answers are kept in objects of their own.
constexpr auto max_inline_answer_bytes = std::size_t(1024);

/// The time of an event: monotonic for decisions, wall clock for records.
struct moment
{
    core::time_point now;
    std::int64_t wall_ms = 0;

    auto operator==(const moment&) const -> bool = default;
};

/// A request that wants to be the one execution of its key.
struct claim_wanted
{
    std::string claim; ///< Unique over all nodes and time.
    std::string key;   ///< From record_key().
    std::string fingerprint;
    /// The node that will execute the request.
    std::string node;
    std::uint64_t incarnation = 0;
    core::time_point deadline;

    auto operator==(const claim_wanted&) const -> bool = default;
};

/// What a claim came to.
enum class claim_verdict
{
    granted,
    replayed,
    in_progress,
    outcome_unknown,
};

/// Read the bucket's object.
struct read_bucket
{
    auto operator==(const read_bucket&) const -> bool = default;
};

/// Write the bucket's object; create it when there is no version.
struct write_bucket
{
    std::optional<std::uint64_t> expected;
    std::string value;

    auto operator==(const write_bucket&) const -> bool = default;
};

/// The claim is decided; exactly one for each claim that was wanted.
struct claim_decided
{
    std::string claim;
    std::error_code error; ///< When set, nothing may be dispatched.
    claim_verdict verdict = claim_verdict::granted;
    claim_record record; ///< With the answer, for replayed.

    auto operator==(const claim_decided&) const -> bool = default;
};

/// The end of an execution is in the store.
struct end_recorded
{
    std::string claim;

    auto operator==(const end_recorded&) const -> bool = default;
};

using bucket_action =
    std::variant<read_bucket, write_bucket, claim_decided, end_recorded>;
using bucket_actions = std::vector<bucket_action>;

/// What a bucket needs to know of its surroundings.
struct bucket_environment
{
    /// Whether the node that holds a claim may still be executing it.
    std::function<bool(const claim_record& record, const moment& at)>
        is_holder_alive;
    /// How long a record is kept; the window in which a key is remembered.
    core::milliseconds retention{};
    /// Pause before the store is asked again after a failure.
    core::milliseconds retry_pause{};
    std::size_t max_value_bytes = 0;
    /// Between the starts of two writes, at least; what arrives meanwhile
    /// shares the next one. Bounds the load on the store.
    core::milliseconds write_interval{};
};

/// Decides claims of one bucket. One store call is under way at a time; all
/// claims and ends that arrive meanwhile go into the next write (group
/// commit). A write whose answer was lost is settled by reading the bucket
/// back and writing again at the version read: either the lost write is seen,
/// or the second write makes its precondition false for good.
class claim_bucket
{
public:
    explicit claim_bucket(bucket_environment environment);

    auto want(const claim_wanted& wanted, const moment& at) -> bucket_actions;

    /// Records the end of a granted claim. A record without an answer and
    /// with state claimed releases the key.
    auto finish(const std::string& key, const claim_record& end,
                const moment& at) -> bucket_actions;

    /// \param value The object's version and text, or the error; not_found
    ///              means an empty bucket.
    auto
    was_read(const core::result<std::pair<std::uint64_t, std::string>>& value,
             const moment& at) -> bucket_actions;
    auto was_written(const core::result<std::uint64_t>& version,
                     const moment& at) -> bucket_actions;

    /// Refuses what has passed its deadline and retries failed calls.
    auto advance(const moment& at) -> bucket_actions;

    /// \return When advance() has something to do, if ever.
    [[nodiscard]] auto next_timer() const -> std::optional<core::time_point>;

    /// \return Claims and ends that are not settled yet.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    struct pending_claim
    {
        claim_wanted wanted;
        bool needs_fresh_read = false;
        /// The bucket was read after the claim was wanted.
        bool is_fresh = false;
    };
    struct pending_end
    {
        std::string key;
        claim_record record;
        bool is_release = false;
    };
    struct write_under_way
    {
        bucket_contents contents;
        std::vector<std::string> claims;
        std::vector<std::string> ends;
    };

    auto pump(const moment& at, bucket_actions& actions) -> void;
    auto settle_from_cache(const moment& at, bucket_actions& actions) -> void;
    [[nodiscard]] auto verdict_for(const pending_claim& pending,
                                   const claim_record& stored,
                                   const moment& at) const
        -> std::optional<claim_decided>;
    auto start_write(const moment& at, bucket_actions& actions) -> void;
    auto refuse_pending(std::error_code reason, bucket_actions& actions)
        -> void;
    auto abandon(const std::string& claim, const std::string& key) -> void;
    [[nodiscard]] auto is_held(const std::string& claim,
                               const std::string& key) const -> bool;
    auto forget_contents() -> void;
    auto apply_ends(write_under_way& write) const -> void;
    auto apply_claims(const moment& at, write_under_way& write,
                      bucket_actions& actions) -> void;

    bucket_environment environment;
    bool is_known = false;
    std::optional<std::uint64_t> version;
    bucket_contents contents;

    bool is_reading = false;
    std::optional<write_under_way> writing;
    /// A write may still take effect; cleared by the next successful one.
    bool needs_fence = false;
    std::optional<core::time_point> retry_at;
    core::time_point next_write;
    bool is_paced = false; ///< A write waits for next_write.

    std::map<std::string, pending_claim> claims;
    std::map<std::string, pending_end> ends;
    /// Claims that were refused while a write of them was unsettled.
    std::map<std::string, std::string> abandoned;
};

} // namespace almondtiller::claims
