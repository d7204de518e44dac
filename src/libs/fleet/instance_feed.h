#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "platform/object_store.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// Topic by which nodes get the instance list from watchers.
constexpr auto instances_topic = "instances";

/// The difference between two instance lists.
struct instance_update
{
    std::uint64_t base = 0;   ///< Digest of the old list; 0 if empty.
    std::uint64_t digest = 0; ///< Digest of the new list.
    /// Milliseconds since the platform returned the new list.
    std::int64_t age_ms = 0;
    std::vector<std::string> removed;    ///< Ids of removed instances.
    std::vector<platform::instance> put; ///< Added and changed instances.

    auto operator==(const instance_update&) const -> bool = default;
};

[[nodiscard]] auto encode_instances(const instance_update& update)
    -> std::string;
[[nodiscard]] auto decode_instances(const std::string& bytes)
    -> core::result<instance_update>;

/// Keeps the newest instance list and a few earlier versions, from which
/// differences for peers are computed. Not thread-safe.
class instance_feed
{
public:
    /// Stores a list that the platform has just returned.
    /// \return Whether it differs from the newest list.
    auto observe(std::vector<platform::instance> listed, core::time_point now)
        -> bool;

    /// Applies a peer's update; an update that is not newer is ignored.
    /// \return Whether the list changed, or fleet_errc::digest_mismatch when
    ///         the base of the update is not the newest list, or the result
    ///         does not have the digest of the update.
    auto apply(const instance_update& update, core::time_point now)
        -> core::result<bool>;

    /// \param peer_digest Digest of the newest list of a peer.
    /// \return The difference from that list, or all instances when that list
    ///         is not kept; fleet_errc::stale_revision before the first list.
    [[nodiscard]] auto update_for(std::uint64_t peer_digest,
                                  core::time_point now) const
        -> core::result<instance_update>;

    [[nodiscard]] auto instances() const
        -> const std::vector<platform::instance>&;
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// \return When the platform returned the list; empty before the first.
    [[nodiscard]] auto observed() const -> std::optional<core::time_point>;

private:
    struct version
    {
        std::uint64_t digest = 0;
        std::vector<platform::instance> instances;
    };

    auto replace(std::vector<platform::instance> listed) -> bool;

    std::deque<version> versions{version()};
    std::optional<core::time_point> observed_at;
};

} // namespace almondtiller::fleet
