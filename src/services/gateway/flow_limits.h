#pragma once

#include "core/clock.h"

#include <algorithm>

namespace almondtiller::gateway {

/// Typical time from the placement of a generation to its first event.
inline constexpr auto typical_time_to_first_event = core::milliseconds(350);
/// An idempotent request without an answer after this multiple of its target
/// latency is retried at another upstream.
inline constexpr auto answer_timeout_factor = 1.2;
/// A resumable stream without an event for this long is resumed at another
/// upstream. For the first event, the time above is added.
inline constexpr auto event_timeout = core::milliseconds(1500);
/// An upstream that accepts no connection within this time is down or
/// unreachable: round trips between zones take a few milliseconds.
inline constexpr auto connect_timeout = core::milliseconds(300);
/// Longest idle time of a connection that is reused. A server may close an idle
/// connection just as a request is sent, so requests that must not be retried
/// use only recently used connections.
inline constexpr auto max_idle_if_not_retryable = core::milliseconds(1000);
inline constexpr auto max_idle_if_retryable = core::milliseconds(4000);
/// Number of rejections by upstreams up to which a request is retried.
inline constexpr auto max_retried_rejections = 4;
inline constexpr auto max_stage_restarts = 2;
/// Lower bound of a zone's share, for a zone that lacks upstreams of a service.
inline constexpr auto min_zone_share = 0.02;
/// Smallest retry delay that a rejected caller is given.
inline constexpr auto min_retry_delay = core::milliseconds(100);
/// Urgency sent for the most urgent priority; upstreams accept 0 to 9.
inline constexpr auto base_urgency = 2;
inline constexpr auto max_urgency = 9;
inline constexpr auto default_deadline = core::milliseconds(10000);
/// A request with less time left than this can't complete before its deadline.
inline constexpr auto min_time_left = core::milliseconds(20);

/// Largest answer that is buffered until it is complete, and largest event of a
/// stream, in bytes. An upstream that never stops sending must not exhaust the
/// memory of a small instance, which buffers some hundred answers at once.
inline constexpr auto max_answer_bytes = std::size_t(1) << 20U;
inline constexpr auto max_event_bytes = std::size_t(1) << 18U;

/// Largest work of all stages of a request, in bytes. Its size follows from
/// the counts of pieces that the caller states.
inline constexpr auto max_stage_work_bytes = std::size_t(4) << 20U;

/// Retry delay of requests that are rejected because they crash upstreams.
inline constexpr auto quarantine_retry_after = core::milliseconds(5000);

inline constexpr auto bad_request = 400;
inline constexpr auto bad_gateway = 502;
inline constexpr auto unavailable = 503;
inline constexpr auto gateway_timeout = 504;
inline constexpr auto conflict = 409;

inline auto to_ms(core::duration time) -> core::milliseconds
{
    return std::chrono::duration_cast<core::milliseconds>(time);
}

inline auto is_success(int status) -> bool
{
    return status >= 200 && status < 300;
}
/// Timeout of calls that run stage work or free results.
inline constexpr auto stage_call_timeout = core::milliseconds(5000);

} // namespace almondtiller::gateway
