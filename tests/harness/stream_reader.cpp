#include "harness/stream_reader.h"

#include <utility>

namespace almondtiller::harness {

stream_reader::stream_reader(handler on_event) : on_event(std::move(on_event))
{}

auto stream_reader::feed(const char* bytes, std::size_t size) -> void
{
    this->pending.append(bytes, size);
    auto begin = std::size_t(0);
    auto end = this->pending.find("\n\n");
    while (end != std::string::npos) {
        this->take_event(this->pending.substr(begin, end - begin));
        begin = end + 2;
        end = this->pending.find("\n\n", begin);
    }
    this->pending.erase(0, begin);
}

auto stream_reader::take_event(const std::string& block) -> void
{
    auto event = stream_event();
    auto begin = std::size_t(0);
    while (begin < block.size()) {
        const auto end = std::min(block.find('\n', begin), block.size());
        const auto line = std::string_view(block).substr(begin, end - begin);
        if (line.starts_with("event: ")) {
            event.name = line.substr(sizeof("event: ") - 1);
        } else if (line.starts_with("data: ")) {
            event.data += line.substr(sizeof("data: ") - 1);
        }
        begin = end + 1;
    }
    this->on_event(event);
}

} // namespace almondtiller::harness
