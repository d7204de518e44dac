#include "services/http/http_service.h"

#include "api/api_errc.h"
#include "api/problem.h"
#include "kernel/kernel.h"
#include "services/http/connection_server.h"
#include "services/http/http_errc.h"

#include <httplib.h>

#include <thread>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto http_bad_request = 400;
constexpr auto http_not_found = 404;
constexpr auto http_too_large = 413;
constexpr auto http_internal_error = 500;

constexpr auto connections_info = core::metric_info{
    "almondtiller_http_connections_total", core::metric_kind::counter,
    "Callers' connections by what happened to them."};
constexpr auto errors_info = core::metric_info{
    "almondtiller_http_errors_total", core::metric_kind::counter,
    "Requests that failed before their handler, by reason."};

auto event_name(connection_event event) -> const char*
{
    switch (event) {
    case connection_event::accepted:
        return "accepted";
    case connection_event::evicted_idle:
        return "evicted_idle";
    case connection_event::rejected:
        return "rejected";
    case connection_event::refused_body:
        return "refused_body";
    case connection_event::too_slow:
        return "too_slow";
    case connection_event::broken:
        return "broken";
    }
    return "broken";
}

auto code_for(int status) -> api::api_errc
{
    switch (status) {
    case http_bad_request:
        return api::api_errc::malformed_json;
    case http_not_found:
        return api::api_errc::not_found;
    case http_too_large:
        return api::api_errc::body_too_large;
    default:
        return api::api_errc::internal_error;
    }
}

} // namespace

struct http_service::state
{
    http_options options;
    core::metrics_registry* metrics = nullptr;
    std::unique_ptr<connection_server> server;
    std::thread thread;
    int port = 0;

    /// Gives errors of the library the form of problem documents.
    auto describe_error(httplib::Response& response) const -> void
    {
        if (!response.body.empty() || response.status < http_bad_request) {
            return;
        }
        auto described = api::problem();
        described.code = code_for(response.status);
        if (response.status == http_internal_error) {
            described.outcome = api::failed_outcome::unknown;
        }
        response.set_content(api::to_json(described), api::problem_media_type);
        this->metrics
            ->counter_for(errors_info,
                          {{"reason", core::error_name(described.code)}})
            .add();
    }
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
    auto& data = *this->data;
    const auto& options = data.options;
    data.metrics = &kernel.metrics();
    auto limits = connection_limits();
    limits.max_connections = options.max_connections;
    limits.max_body_bytes = options.max_body_bytes;
    limits.max_request_bytes = options.max_request_bytes;
    limits.keep_alive = options.keep_alive;
    limits.request_read = options.request_read;
    data.server = std::make_unique<connection_server>(
        kernel.clock(), limits, [&data](connection_event event) {
            data.metrics
                ->counter_for(connections_info, {{"event", event_name(event)}})
                .add();
        });
    data.server->set_payload_max_length(options.max_body_bytes);
    data.server->set_error_handler(
        [&data](const httplib::Request&, httplib::Response& response) {
            data.describe_error(response);
        });
    data.server->set_exception_handler(
        [&data](const httplib::Request&, httplib::Response& response, auto) {
            response.status = http_internal_error;
            response.body.clear();
            data.describe_error(response);
        });
    data.port = data.server->bind(options.address, options.port);
    if (data.port <= 0) {
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
    auto& server = *this->data->server;
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
        std::thread([this] { this->data->server->listen_after_bind(); });
}

auto http_service::stop_listening() -> void
{
    if (this->data->thread.joinable()) {
        this->data->server->drain();
        this->data->thread.join();
    }
}

auto http_service::port() const -> int
{
    return this->data->port;
}

auto http_service::caller_probe() -> std::function<bool()>
{
    const auto socket = connection_server::current_connection();
    return [socket] {
        return socket >= 0 && is_closed_by_peer(socket);
    };
}

} // namespace almondtiller::services
