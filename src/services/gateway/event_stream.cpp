#include "services/gateway/event_stream.h"

#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto id_field = std::string_view("id:");

/// \return The length up to the end of the last empty line, 0 if there is none.
///         Lines end with LF or CR LF.
auto complete_length(std::string_view bytes) -> std::size_t
{
    for (auto end = bytes.rfind('\n'); end != std::string_view::npos && end > 0;
         end = bytes.rfind('\n', end - 1)) {
        const auto before = bytes.substr(0, end);
        if (before.ends_with('\n') || before.ends_with("\n\r")) {
            return end + 1;
        }
    }
    return 0;
}

} // namespace

auto event_stream::feed(std::string_view bytes) -> std::string
{
    this->buffer += bytes;
    auto complete_events =
        this->buffer.substr(0, complete_length(this->buffer));
    this->buffer.erase(0, complete_events.size());
    this->scan_events(complete_events);
    return complete_events;
}

auto event_stream::scan_events(std::string_view events) -> void
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = events.substr(end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            ++this->completed_events;
        } else if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            this->last_event_id = std::string(line);
        }
    }
}

auto event_stream::discard_incomplete_event() -> void
{
    this->buffer.clear();
}

auto event_stream::incomplete_event() const -> const std::string&
{
    return this->buffer;
}

auto event_stream::last_id() const -> const std::string&
{
    return this->last_event_id;
}

auto event_stream::event_count() const -> std::uint64_t
{
    return this->completed_events;
}

} // namespace almondtiller::gateway
