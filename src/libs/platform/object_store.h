#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::platform {

/// The largest value that the platform stores.
constexpr auto max_value_bytes = std::size_t(1) << 20U;

/// Identifies an object.
struct object_key
{
    std::string kind;
    std::string name;

    auto operator==(const object_key&) const -> bool = default;
    auto operator<=>(const object_key&) const = default;
};

/// An object at one version.
struct object
{
    object_key key;
    /// Store-wide; grows with every write to any object.
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;

    auto operator==(const object&) const -> bool = default;
};

/// All objects of a kind at one revision of the store.
struct object_list
{
    std::uint64_t revision = 0;
    std::vector<object> objects;

    auto operator==(const object_list&) const -> bool = default;
};

enum class watch_event_kind
{
    put,
    removed,
};

struct watch_event
{
    watch_event_kind kind = watch_event_kind::put;
    object changed; ///< Has no value if it was removed.

    auto operator==(const watch_event&) const -> bool = default;
};

/// The changes that a watch returned; empty if it timed out.
struct watch_batch
{
    std::uint64_t revision = 0; ///< Where the next watch continues.
    std::vector<watch_event> events;

    auto operator==(const watch_batch&) const -> bool = default;
};

enum class instance_role
{
    node,
    upstream,
};

enum class instance_state
{
    live,
    leaving,
};

/// An entry of the platform's instance list, which lags behind the instances'
/// actual state.
struct instance
{
    std::string id;
    instance_role role = instance_role::upstream;
    core::pool_name pool; ///< Empty for nodes.
    core::zone_name zone;
    core::region_name region;
    std::string address;      ///< IP:port for HTTP.
    std::string peer_address; ///< IP:port for peers; nodes only.
    instance_state state = instance_state::live;

    auto operator==(const instance&) const -> bool = default;
    auto operator<=>(const instance&) const = default;
};

/// The platform's object API and instance list. Every call blocks for at most
/// \a timeout and fails with a platform_errc.
class object_store
{
public:
    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store&) = delete;
    auto operator=(const object_store&) -> object_store& = delete;

    virtual auto get(const object_key& key, core::milliseconds timeout)
        -> core::result<object> = 0;
    virtual auto list(const std::string& kind, core::milliseconds timeout)
        -> core::result<object_list> = 0;

    /// Creates an object. Fails with platform_errc::already_exists if there is
    /// one with the same key.
    /// \return The new version.
    virtual auto create(const object_key& key, const std::string& value,
                        core::milliseconds timeout)
        -> core::result<std::uint64_t> = 0;

    /// Replaces an object. Fails with platform_errc::version_conflict if its
    /// version is not \a expected.
    /// \return The new version.
    virtual auto update(const object_key& key, std::uint64_t expected,
                        const std::string& value, core::milliseconds timeout)
        -> core::result<std::uint64_t> = 0;

    /// Removes an object. Fails with platform_errc::version_conflict if its
    /// version is not \a expected.
    virtual auto remove(const object_key& key, std::uint64_t expected,
                        core::milliseconds timeout) -> std::error_code = 0;

    /// Waits at most \a timeout for changes of a kind after a revision. Fails
    /// with platform_errc::watch_expired if that revision is no longer kept.
    virtual auto watch(const std::string& kind, std::uint64_t after,
                       core::milliseconds timeout)
        -> core::result<watch_batch> = 0;

    virtual auto instances(core::milliseconds timeout)
        -> core::result<std::vector<instance>> = 0;
};

} // namespace almondtiller::platform
