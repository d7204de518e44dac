#include "services/http/http_service.h"

#include "services/http/http_errc.h"

#include <httplib.h>

#include <thread>
#include <utility>

namespace almondtiller::services {

struct http_service::state
{
    http_options options;
    httplib::Server server;
    std::thread thread;
    int port = 0;
};

http_service::http_service(http_options options)
    : data(std::make_unique<state>())
{
    this->data->options = std::move(options);
}

http_service::~http_service()
{
    this->stop_listening();
}

auto http_service::name() const -> std::string_view
{
    return http_service_name;
}

auto http_service::initialize(kernel::service_kernel& kernel) -> std::error_code
{
    static_cast<void>(kernel);
    auto& server = this->data->server;
    const auto& options = this->data->options;
    const auto threads = options.max_connections;
    server.new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(options.max_body_bytes);
    if (options.port == 0) {
        this->data->port = server.bind_to_any_port(options.address);
    } else if (server.bind_to_port(options.address, options.port)) {
        this->data->port = options.port;
    }
    if (this->data->port <= 0) {
        return http_errc::address_unavailable;
    }
    return {};
}

auto http_service::about_to_shutdown() -> void
{
    this->stop_listening();
}

auto http_service::add_route(http_method method, const std::string& pattern,
                             handler handle) -> void
{
    auto& server = this->data->server;
    switch (method) {
    case http_method::get:
        server.Get(pattern, std::move(handle));
        break;
    case http_method::post:
        server.Post(pattern, std::move(handle));
        break;
    case http_method::put:
        server.Put(pattern, std::move(handle));
        break;
    case http_method::remove:
        server.Delete(pattern, std::move(handle));
        break;
    }
}

auto http_service::start_listening() -> void
{
    this->data->thread =
        std::thread([this] { this->data->server.listen_after_bind(); });
}

auto http_service::stop_listening() -> void
{
    if (this->data->thread.joinable()) {
        this->data->server.stop();
        this->data->thread.join();
    }
}

auto http_service::port() const -> int
{
    return this->data->port;
}

} // namespace almondtiller::services
