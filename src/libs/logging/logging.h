#pragma once

/// Entry header of the logging package: one line for each change of state,
/// written through Boost.Log. Everything else is a counter. Any thread may
/// call it.

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::logging {

/// How a line is written.
enum class log_format
{
    text, ///< key=value pairs.
    json, ///< One JSON object a line.
};

/// One fact about a change of state.
struct attribute
{
    std::string key;
    std::string value;

    auto operator==(const attribute&) const -> bool = default;
};

/// Directs the log to \a stream. Called once, before the first line; without
/// it no line is written.
auto set_up(log_format format, std::ostream& stream) -> void;

/// Ends the log, so that its stream may go. Idempotent.
auto shut_down() -> void;

/// Writes one line for a change of state, with the time of the day.
/// \param event What has changed, like "member_joined".
auto state_change(std::string_view event,
                  const std::vector<attribute>& attributes) -> void;

} // namespace almondtiller::logging
