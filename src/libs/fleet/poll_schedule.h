#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fleet/backoff.h"

#include <optional>

namespace almondtiller::fleet {

/// Why a node asks the platform.
enum class store_role
{
    watcher,  ///< On behalf of its zone.
    follower, ///< Only as a fallback; it gets the same from watchers.
};

/// When a node asks the platform.
struct poll_options
{
    /// Between two calls of a watcher; 0 when the call itself waits.
    core::milliseconds watcher_pause{0};
    /// Between two calls of a follower that hears from watchers.
    core::milliseconds follower_pause{30000};
    /// What was confirmed so long ago is no longer fresh; a follower then
    /// asks by itself.
    core::milliseconds stale_after{4000};
    backoff_options watcher_backoff{core::milliseconds(250),
                                    core::milliseconds(5000)};
    backoff_options follower_backoff{core::milliseconds(1000),
                                     core::milliseconds(20000)};

    auto operator==(const poll_options&) const -> bool = default;
};

/// Decides when a node may ask the platform, so that the calls of the fleet
/// depend on the number of zones, an outage makes few calls, and its end
/// brings no burst. Not thread-safe.
class poll_schedule
{
public:
    poll_schedule(const poll_options& options, std::uint64_t seed);

    /// \param confirmed When what is known was last confirmed by the
    ///        platform, to anyone; nothing when it never was.
    /// \return Whether to ask now.
    [[nodiscard]] auto is_due(store_role role,
                              std::optional<core::time_point> confirmed,
                              core::time_point now) -> bool;

    auto succeeded(store_role role, core::time_point now) -> void;
    auto failed(store_role role, core::time_point now) -> void;

private:
    poll_options options;
    core::random_source random;
    backoff watcher_retry;
    backoff follower_retry;
    store_role last_role = store_role::follower;
    bool was_stale = false;
    std::optional<core::time_point> not_before;
};

} // namespace almondtiller::fleet
