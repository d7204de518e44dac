#include "gateway_world/http_server.h"

#include <utility>

namespace almondtiller::gateway_world {

namespace {

/// Longer than any test runs.
constexpr auto unlimited = core::milliseconds(3600000);

} // namespace

http_server::http_server(event::loop& loop, handler on_request)
    : event_loop(loop), options(std::make_shared<http1::server_options>())
{
    this->options->on_request = std::move(on_request);
    this->options->limits = []() {
        return http1::parser_limits();
    };
    this->options->header_timeout = []() {
        return unlimited;
    };
    this->options->idle_timeout = []() {
        return unlimited;
    };
    this->options->on_closed = [this](const auto& connection) {
        this->connections.erase(connection);
    };
    this->listen();
}

http_server::~http_server()
{
    this->close();
}

auto http_server::address() const -> core::endpoint
{
    return {"127.0.0.1", this->port};
}

auto http_server::listen() -> void
{
    this->listener = std::make_unique<event::tcp_listener>(
        this->event_loop, [this](auto stream) {
            auto connection = std::make_shared<http1::server_connection>(
                this->event_loop, std::move(stream), this->options);
            this->connections.insert(connection);
            connection->start();
        });
    this->listener->listen(this->address());
    this->port = std::uint16_t(this->listener->port());
}

auto http_server::reopen() -> void
{
    this->listen();
}

auto http_server::close() -> void
{
    this->listener.reset();
    const auto open = this->connections;
    for (const auto& connection : open) {
        connection->close();
    }
}

} // namespace almondtiller::gateway_world
