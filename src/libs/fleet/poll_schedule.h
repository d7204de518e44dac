#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fleet/backoff.h"

#include <optional>

namespace almondtiller::fleet {

/// The role in which a node polls the platform.
enum class poll_role
{
    watcher,  ///< Polls on behalf of its zone.
    follower, ///< Gets updates from watchers and polls only as a fallback.
};

/// Intervals of polling.
struct poll_options
{
    /// Between two calls of a watcher; 0 when the call is a long poll.
    core::milliseconds watcher_interval{0};
    /// Mean time between two calls of a follower that gets updates from
    /// watchers.
    core::milliseconds follower_interval{30000};
    /// Age of the last confirmation by the platform at which the data becomes
    /// stale; a follower then polls the platform itself.
    core::milliseconds stale_after{4000};
    backoff_options watcher_backoff{core::milliseconds(250),
                                    core::milliseconds(5000)};
    backoff_options follower_backoff{core::milliseconds(1000),
                                     core::milliseconds(20000)};

    auto operator==(const poll_options&) const -> bool = default;
};

/// Decides when a node may poll the platform. The number of calls of the whole
/// fleet depends on the number of zones, few calls are made during an outage,
/// and the end of an outage causes no burst of calls. Not thread-safe.
class poll_schedule
{
public:
    poll_schedule(const poll_options& options, std::uint64_t seed);

    /// \param confirmed When the platform last confirmed the data of this node,
    ///        to this or any other node; empty when it never did.
    /// \return Whether to poll now.
    [[nodiscard]] auto is_due(poll_role role,
                              std::optional<core::time_point> confirmed,
                              core::time_point now) -> bool;

    auto succeeded(poll_role role, core::time_point now) -> void;
    auto failed(poll_role role, core::time_point now) -> void;

private:
    poll_options options;
    core::random_source random;
    backoff watcher_retry;
    backoff follower_retry;
    poll_role last_role = poll_role::follower;
    bool was_stale = false;
    std::optional<core::time_point> not_before;
};

} // namespace almondtiller::fleet
