#pragma once

#include "event/loop.h"
#include "event/timer.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// How much a line matters when the buffer fills.
enum class severity
{
    detail,  ///< An ordinary success; the first to be dropped.
    notice,  ///< A change of what the process believes.
    failure, ///< A refused or failed request; the last to be dropped.
};

/// \return Whole milliseconds, as values of log lines.
[[nodiscard]] auto ms_text(core::duration time) -> std::string;

struct log_field
{
    std::string_view key;
    std::string value;
};

/// Structured lines on standard output, `key=value` a field. Lines are
/// buffered up to a bound and written without blocking; what does not fit is
/// dropped and counted in a later line.
class event_log
{
public:
    /// \param clock Its time of day goes into a `clock` line now and then, so
    ///        that lines of several nodes can be put in one order.
    /// \param descriptor Made non-blocking.
    event_log(event::loop& owner, const core::runtime_clock& clock,
              int descriptor, std::string node);

    auto write(severity level, std::string_view event,
               std::initializer_list<log_field> fields) -> void;

    /// Writes what is buffered, as far as the descriptor takes it now.
    auto flush() -> void;

    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    auto has_room(severity level) -> bool;
    auto append(std::string_view event, std::initializer_list<log_field> fields)
        -> void;
    auto write_clock() -> void;

    event::loop& owner;
    const core::runtime_clock& clock;
    int descriptor;
    std::string node;
    std::string buffer;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported_lines = 0;
    core::time_point second_start;
    std::uint32_t details_in_second = 0;
    /// None before the first line.
    std::optional<core::time_point> clock_written;
    bool is_scheduled = false;
    event::timer flusher;
};

} // namespace almondtiller::gateway
