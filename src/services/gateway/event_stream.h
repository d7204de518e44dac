#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Splits a stream of server-sent events at event boundaries, so that no part
/// of a truncated event reaches the caller and another upstream can resume
/// after the last complete event.
class event_stream
{
public:
    /// Appends bytes of the stream.
    /// \return The events that are complete now, byte for byte as received.
    auto feed(std::string_view bytes) -> std::string;

    /// Discards a truncated event, before another upstream resumes the stream.
    auto discard_incomplete_event() -> void;

    /// \return The bytes received of an event that is not complete.
    [[nodiscard]] auto incomplete_event() const -> const std::string&;

    /// \return The last id of a complete event, empty if none had one.
    [[nodiscard]] auto last_id() const -> const std::string&;

    /// \return Number of complete events so far.
    [[nodiscard]] auto event_count() const -> std::uint64_t;

private:
    auto scan_events(std::string_view events) -> void;

    std::string buffer;
    std::string last_event_id;
    std::uint64_t completed_events = 0;
};

} // namespace almondtiller::gateway
