#include "fleet/poll_schedule.h"

#include <algorithm>
#include <utility>

namespace almondtiller::fleet {

namespace {

/// Divisor for the jitter of a follower's pause, which is uniform between 3/4
/// and 5/4 of the configured one.
constexpr auto jitter_divisor = 4;

} // namespace

poll_schedule::poll_schedule(const poll_options& options, std::uint64_t seed)
    : options(options),
      random(seed),
      watcher_retry(options.watcher_backoff),
      follower_retry(options.follower_backoff)
{}

auto poll_schedule::is_due(poll_role role,
                           std::optional<core::time_point> confirmed,
                           core::time_point now) -> bool
{
    if (!this->not_before) {
        return true;
    }
    const auto became_watcher =
        role == poll_role::watcher && this->last_role == poll_role::follower;
    this->last_role = role;
    if (became_watcher && this->follower_retry.failures() == 0) {
        this->not_before = now;
    }
    const auto is_stale =
        !confirmed || now - *confirmed > this->options.stale_after;
    const auto became_stale =
        is_stale && !std::exchange(this->was_stale, is_stale);
    if (became_stale && role == poll_role::follower) {
        // Updates from watchers stop for all followers at about the same time,
        // so each follower waits for a random backoff before it polls.
        const auto pause = this->follower_retry.failed(this->random);
        this->not_before = std::min(*this->not_before, now + pause);
    }
    return now >= *this->not_before;
}

auto poll_schedule::succeeded(poll_role role, core::time_point now) -> void
{
    this->watcher_retry.succeeded();
    this->follower_retry.succeeded();
    if (role == poll_role::watcher) {
        this->not_before = now + this->options.watcher_interval;
        return;
    }
    const auto part = this->options.follower_interval / jitter_divisor;
    const auto spread = std::uint64_t(2 * part.count()) + 1;
    this->not_before = now + (jitter_divisor - 1) * part +
                       core::milliseconds(this->random.below(spread));
}

auto poll_schedule::failed(poll_role role, core::time_point now) -> void
{
    auto& retry =
        role == poll_role::watcher ? this->watcher_retry : this->follower_retry;
    this->not_before = now + retry.failed(this->random);
}

} // namespace almondtiller::fleet
