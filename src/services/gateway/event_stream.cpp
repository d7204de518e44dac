#include "services/gateway/event_stream.h"

#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto border = std::string_view("\n\n");
constexpr auto id_field = std::string_view("id:");

} // namespace

auto event_stream::feed(std::string_view bytes) -> std::string
{
    this->buffer += bytes;
    const auto at = this->buffer.rfind(border);
    if (at == std::string::npos) {
        return {};
    }
    auto whole = this->buffer.substr(0, at + border.size());
    this->buffer.erase(0, whole.size());
    this->note_ids(whole);
    return whole;
}

auto event_stream::note_ids(std::string_view events) -> void
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = events.substr(end + 1);
        if (line.empty()) {
            ++this->count;
        } else if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            this->last = std::string(line);
        }
    }
}

auto event_stream::restart() -> void
{
    this->buffer.clear();
}

auto event_stream::rest() const -> const std::string&
{
    return this->buffer;
}

auto event_stream::last_id() const -> const std::string&
{
    return this->last;
}

auto event_stream::events() const -> std::uint64_t
{
    return this->count;
}

} // namespace almondtiller::gateway
