#pragma once

/// Entry header of the logging package: writes one line for each state change
/// through Boost.Log. Other events are only counted in metrics. Thread-safe.

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::logging {

/// The output format of a line.
enum class log_format
{
    text, ///< key=value pairs.
    json, ///< One JSON object per line.
};

/// A key and value that describe a state change.
struct attribute
{
    std::string key;
    std::string value;

    auto operator==(const attribute&) const -> bool = default;
};

/// Directs the log to \a stream. Must be called once, before the first line;
/// otherwise no line is written.
auto set_up(log_format format, std::ostream& stream) -> void;

/// Stops logging, so that the stream may be destroyed. Idempotent.
auto shut_down() -> void;

/// Writes one line for a state change, with the current date and time (UTC).
/// \param event The kind of change, for example "member_joined".
auto state_change(std::string_view event,
                  const std::vector<attribute>& attributes) -> void;

} // namespace almondtiller::logging
