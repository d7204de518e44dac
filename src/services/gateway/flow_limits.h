#pragma once

#include "core/clock.h"

#include <algorithm>

namespace almondtiller::gateway {

/// Usual time from the placement of a generation to its first event.
inline constexpr auto usual_first_event = core::milliseconds(350);
/// A plain request that may be repeated goes elsewhere after that multiple of
/// its target latency without an answer.
inline constexpr auto plain_silence_factor = 1.2;
/// A stream that may be resumed goes on elsewhere after that time without an
/// event.
inline constexpr auto stream_silence = core::milliseconds(1500);
/// An upstream that accepts no connection by then is down or cut off: round
/// trips between zones are a few milliseconds.
inline constexpr auto connect_limit = core::milliseconds(300);
/// A server may drop an idle connection just as a request is sent; requests
/// that may not be repeated use only connections that were just in use.
inline constexpr auto unsafe_idle = core::milliseconds(1000);
inline constexpr auto safe_idle = core::milliseconds(4000);
/// Upstreams that may turn a request away before it is refused.
inline constexpr auto most_turned_away = 4;
inline constexpr auto most_stage_restarts = 2;
/// Share of a zone that lacks a service altogether.
inline constexpr auto least_zone_share = 0.02;
/// A refused caller may come back after that time at the earliest.
inline constexpr auto shortest_retry = core::milliseconds(100);
/// Urgency that stands for the most urgent priority, upstreams take 0 to 9.
inline constexpr auto first_urgency = 2;
inline constexpr auto last_urgency = 9;
inline constexpr auto default_deadline = core::milliseconds(10000);
/// A send with less time left than that can't end in time.
inline constexpr auto least_time_left = core::milliseconds(20);

/// Longest answer that is held until it is whole, and longest event of a
/// stream: an upstream that sends without end must not use up the memory of a
/// small machine, which holds some hundred answers at once.
inline constexpr auto largest_answer = std::size_t(1) << 20U;
inline constexpr auto largest_event = std::size_t(1) << 18U;

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

} // namespace almondtiller::gateway
