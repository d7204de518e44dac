#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace almondtiller::harness {

/// One server-sent event; the name is empty when it has none.
struct stream_event
{
    std::string name;
    std::string data;
};

/// Splits a byte stream into server-sent events.
class stream_reader
{
public:
    using handler = std::function<void(const stream_event&)>;

    explicit stream_reader(handler on_event);

    auto feed(const char* bytes, std::size_t size) -> void;

private:
    auto take_event(const std::string& block) -> void;

    handler on_event;
    std::string pending;
};

} // namespace almondtiller::harness
