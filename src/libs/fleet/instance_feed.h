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

/// Topic by which nodes take the instance list from watchers.
constexpr auto instances_topic = "instances";

/// What changed between two instance lists.
struct instance_update
{
    std::uint64_t base = 0;   ///< Digest of the list to change; 0 for none.
    std::uint64_t digest = 0; ///< Digest of the list that results.
    /// How long ago the platform gave the resulting list.
    std::int64_t age_ms = 0;
    std::vector<std::string> removed;
    std::vector<platform::instance> put;

    auto operator==(const instance_update&) const -> bool = default;
};

[[nodiscard]] auto encode_instances(const instance_update& update)
    -> std::string;
[[nodiscard]] auto decode_instances(const std::string& bytes)
    -> core::result<instance_update>;

/// The newest instance list and the few before it, from which differences for
/// peers are made. Not thread-safe.
class instance_feed
{
public:
    /// Takes a list that the platform gave just now.
    /// \return Whether it differs from the newest one.
    auto observe(std::vector<platform::instance> listed, core::time_point now)
        -> bool;

    /// Takes a peer's update; older ones are ignored.
    /// \return Whether the list changed, or fleet_errc::digest_mismatch when
    ///         the update does not fit this list.
    auto apply(const instance_update& update, core::time_point now)
        -> core::result<bool>;

    /// \return What a peer with the list \a known lacks.
    [[nodiscard]] auto update_for(std::uint64_t known,
                                  core::time_point now) const
        -> core::result<instance_update>;

    [[nodiscard]] auto instances() const
        -> const std::vector<platform::instance>&;
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// \return When the platform gave the list; nothing before the first.
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
