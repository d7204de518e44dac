#pragma once

#include "core/result.h"
#include "settings/effective.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// Kinds and name of the objects on the platform that hold the head and the
/// shards.
constexpr auto config_kind = "config";
constexpr auto config_head_name = "head";
constexpr auto config_shard_kind = "config-shard";

/// Maximum number of changes that the head lists.
constexpr auto max_head_changes = std::size_t(64);

/// A content-addressed part of the declaration tree.
struct shard_ref
{
    std::string name;
    std::string digest;

    auto operator==(const shard_ref&) const -> bool = default;
};

/// An accepted change of the configuration.
struct change_record
{
    std::string id;   ///< Random; identifies the change after a lost answer.
    std::string who;  ///< The operator that made the change.
    std::string what; ///< The operator's description of the change.
    std::int64_t when_ms = 0; ///< Wall clock, milliseconds since 1970.
    std::uint64_t revision = 0;

    auto operator==(const change_record&) const -> bool = default;
};

using zone_states = std::map<core::zone_name, settings::zone_state>;

/// The object whose conditional update commits a change. It references the
/// shards by digest.
struct config_head
{
    std::uint64_t revision = 0;
    std::vector<shard_ref> shards;
    /// The state of each declared zone.
    zone_states zones;
    /// The newest changes, oldest first.
    std::vector<change_record> changes;

    auto operator==(const config_head&) const -> bool = default;
};

[[nodiscard]] auto encode_head(const config_head& head) -> std::string;

/// \return fleet_errc::malformed_message when \a text is not a head.
[[nodiscard]] auto decode_head(const std::string& text)
    -> core::result<config_head>;

} // namespace almondtiller::fleet
