#pragma once

#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondtiller::claims {

/// Execution state of the request that holds a claim.
enum class claim_state
{
    claimed,   ///< May have been dispatched; has not ended yet.
    completed, ///< The answer is recorded.
    unknown,   ///< Dispatched, but no answer was received.
};

/// The stored record of one idempotency key.
struct claim_record
{
    std::string claim; ///< Identifier of the claim, unique per attempt.
    std::string fingerprint;
    std::string node;
    std::uint64_t incarnation = 0;
    claim_state state = claim_state::claimed;
    /// Wall-clock time of the claim in milliseconds since the epoch.
    std::int64_t claimed_at_ms = 0;
    /// The answer, or the name of the object that holds it when
    /// answer_is_separate is set.
    std::string answer;
    bool answer_is_separate = false;

    auto operator==(const claim_record&) const -> bool = default;
};

/// The records of one bucket; the keys come from record_key().
struct bucket_contents
{
    std::map<std::string, claim_record> records;

    auto operator==(const bucket_contents&) const -> bool = default;
};

/// \return The contents as the JSON text that is stored.
[[nodiscard]] auto encode(const bucket_contents& contents) -> std::string;

/// \return platform_errc::malformed_answer when \a text is not an encoded
///         bucket.
[[nodiscard]] auto decode(const std::string& text)
    -> core::result<bucket_contents>;

/// \return The key of a request's record. Different pairs of arguments give
///         different keys.
[[nodiscard]] auto record_key(const std::string& workspace,
                              const std::string& idempotency_key)
    -> std::string;

/// \return The index of the key's bucket in [0, bucket_count), by XXH3-64.
[[nodiscard]] auto bucket_of(const std::string& key, std::uint32_t bucket_count)
    -> std::uint32_t;

/// \return The contents without the records that were claimed before
///         \a oldest_ms, in milliseconds since the epoch.
[[nodiscard]] auto without_expired(bucket_contents contents,
                                   std::int64_t oldest_ms) -> bucket_contents;

} // namespace almondtiller::claims
