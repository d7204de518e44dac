#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Cuts a stream of server-sent events at the borders of events, so that
/// nothing of a broken event reaches the caller and another upstream can go
/// on after the last whole one.
class event_stream
{
public:
    /// Takes bytes of the stream.
    /// \return The whole events that they complete, as they came.
    auto feed(std::string_view bytes) -> std::string;

    /// A new upstream goes on: drops the part of a broken event.
    auto restart() -> void;

    /// \return Bytes of an event that is not whole.
    [[nodiscard]] auto rest() const -> const std::string&;

    /// \return The id of the last whole event, empty if none had one.
    [[nodiscard]] auto last_id() const -> const std::string&;

    /// \return Whole events so far.
    [[nodiscard]] auto events() const -> std::uint64_t;

private:
    auto note_ids(std::string_view events) -> void;

    std::string buffer;
    std::string last;
    std::uint64_t count = 0;
};

} // namespace almondtiller::gateway
