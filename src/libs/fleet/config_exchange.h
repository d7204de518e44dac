#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>

namespace almondtiller::fleet {

/// Topics for the exchange of configuration between peers.
constexpr auto config_head_topic = "config-head";   ///< Requests a newer head.
constexpr auto config_shard_topic = "config-shard"; ///< Requests a shard.
constexpr auto config_push_topic = "config-push";   ///< Announces a newer head.

/// A peer's answer to a node that sent its own revision.
struct head_answer
{
    std::uint64_t revision = 0;
    /// Milliseconds since the platform confirmed the revision; negative when it
    /// never did.
    std::int64_t age_ms = -1;
    /// The head's text; empty when the requesting node has that revision.
    std::string head;

    auto operator==(const head_answer&) const -> bool = default;
};

[[nodiscard]] auto encode_revision(std::uint64_t revision) -> std::string;
[[nodiscard]] auto decode_revision(const std::string& bytes)
    -> core::result<std::uint64_t>;
[[nodiscard]] auto encode_head_answer(const head_answer& answer) -> std::string;
[[nodiscard]] auto decode_head_answer(const std::string& bytes)
    -> core::result<head_answer>;

} // namespace almondtiller::fleet
