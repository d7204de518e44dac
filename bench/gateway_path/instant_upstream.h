#pragma once

#include "gateway_world/http_server.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace almondtiller::gateway_path {

/// An upstream that costs as little as possible: answers `/read/` at once,
/// sends the events of `/stream/relay/COUNT` as fast as they are taken, and
/// keeps `/stream/hold/` open after one event.
class instant_upstream
{
public:
    explicit instant_upstream(event::loop& owner);

    [[nodiscard]] auto address() const -> core::endpoint;

    /// Ends the streams that are kept open.
    auto release() -> void;

private:
    auto on_request(const http1::request_message& request,
                    const std::shared_ptr<http1::exchange>& exchange) -> void;
    auto send_events(const std::shared_ptr<http1::exchange>& exchange,
                     std::uint64_t next, std::uint64_t count) -> void;

    std::vector<std::shared_ptr<http1::exchange>> held;
    /// Goes first, as its requests use the rest.
    gateway_world::http_server server;
};

} // namespace almondtiller::gateway_path
