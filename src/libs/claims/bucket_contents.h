#pragma once

#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondtiller::claims {

/// How far the execution under a claim has got.
enum class claim_state
{
    claimed,   ///< May be dispatched, or has been.
    completed, ///< An answer is recorded.
    unknown,   ///< Dispatched, and no answer came.
};

/// What the store keeps about one idempotency key.
struct claim_record
{
    std::string claim; ///< Unique per attempt to claim.
    std::string fingerprint;
    std::string node;
    std::uint64_t incarnation = 0;
    claim_state state = claim_state::claimed;
    /// Wall-clock time of the claim, milliseconds since the epoch.
    std::int64_t claimed_at_ms = 0;
    /// The answer, or the name of the object that holds it.
    std::string answer;
    bool answer_is_separate = false;

    auto operator==(const claim_record&) const -> bool = default;
};

/// The records of one bucket by workspace and idempotency key.
struct bucket_contents
{
    std::map<std::string, claim_record> records;

    auto operator==(const bucket_contents&) const -> bool = default;
};

/// \return The JSON text that the store keeps.
[[nodiscard]] auto encode(const bucket_contents& contents) -> std::string;

/// \return platform_errc::malformed_answer when the text is no bucket.
[[nodiscard]] auto decode(const std::string& text)
    -> core::result<bucket_contents>;

/// \return The key of a request's record. Unambiguous for any two texts.
[[nodiscard]] auto record_key(const std::string& workspace,
                              const std::string& idempotency_key)
    -> std::string;

/// \return The bucket of a record key, in [0, bucket_count), by XXH3-64.
[[nodiscard]] auto bucket_of(const std::string& key, std::uint32_t bucket_count)
    -> std::uint32_t;

/// Drops every record that was claimed before \a oldest_ms.
[[nodiscard]] auto without_expired(bucket_contents contents,
                                   std::int64_t oldest_ms) -> bucket_contents;

} // namespace almondtiller::claims
