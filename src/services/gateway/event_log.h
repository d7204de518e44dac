#pragma once

#include "event/loop.h"
#include "event/timer.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Severity of a log line. Lines of lower severity are dropped first when the
/// buffer fills.
enum class severity
{
    detail,  ///< An ordinary success; the first to be dropped.
    notice,  ///< A change of the process's view of the system.
    failure, ///< A rejected or failed request; the last to be dropped.
};

/// \return A duration in whole milliseconds, as written in log lines.
[[nodiscard]] auto ms_text(core::duration time) -> std::string;

struct log_field
{
    std::string_view key;
    std::string value;
};

/// Writes structured log lines of `key=value` fields to standard output. Lines
/// are buffered up to a limit and written without blocking. Lines that do not
/// fit are dropped and counted in a later line.
class event_log
{
public:
    /// \param clock Its wall-clock time is written to a `clock` line at
    ///        intervals, so that lines of several nodes can be merged in order
    ///        of time.
    /// \param descriptor Where lines are written; made non-blocking.
    event_log(event::loop& event_loop, const core::runtime_clock& clock,
              int descriptor, std::string node);

    auto write(severity level, std::string_view event,
               std::initializer_list<log_field> fields) -> void;
    auto write(severity level, std::string_view event,
               std::span<const log_field> fields) -> void;

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    auto flush() -> void;

    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    auto has_room(severity level) -> bool;
    auto append(std::string_view event, std::span<const log_field> fields)
        -> void;
    auto write_clock() -> void;

    event::loop& event_loop;
    const core::runtime_clock& clock;
    int descriptor;
    std::string node;
    std::string buffer;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported_lines = 0;
    core::time_point second_start;
    std::uint32_t details_in_second = 0;
    /// Empty before the first line.
    std::optional<core::time_point> clock_written_at;
    bool is_flush_scheduled = false;
    event::timer flush_timer;
};

} // namespace almondtiller::gateway
