#include "services/entry/entry_service.h"

#include "api/api_errc.h"
#include "services/endpoints/endpoints_service.h"
#include "services/entry/event_queue.h"
#include "services/http/http_service.h"
#include "services/node/node_service.h"

#include <httplib.h>

#include <memory>
#include <thread>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto http_ok = 200;
constexpr auto http_unavailable = 503;
constexpr auto admission_retry_after = core::milliseconds(500);
constexpr auto json_media_type = "application/json";
constexpr auto stream_media_type = "text/event-stream";
constexpr auto text_media_type = "text/plain; version=0.0.4";

constexpr auto bad_requests_info = core::metric_info{
    "almondtiller_rejected_requests_total", core::metric_kind::counter,
    "Requests that were rejected before they were run, by reason."};

auto write_conclusion(const run_conclusion& conclusion,
                      httplib::Response& response) -> void
{
    if (const auto* success = std::get_if<run_success>(&conclusion)) {
        response.status = http_ok;
        response.set_content(success->answer, json_media_type);
        return;
    }
    const auto& described = std::get<api::problem>(conclusion);
    response.status = api::status_of(described);
    if (const auto seconds = api::retry_after_seconds(described); seconds > 0) {
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(api::to_json(described), api::problem_media_type);
}

/// Runs a request at the top of a thread, where exceptions end.
auto run_safely(executor& execution, const api::run_request& wanted,
                const run_hooks& hooks) -> run_conclusion
{
    try {
        return execution.run(wanted, hooks);
    } catch (const std::exception&) {
        auto described = api::problem();
        described.code = api::api_errc::internal_error;
        described.outcome = api::failed_outcome::unknown;
        return described;
    }
}

/// A streamed request: its queue and the thread that runs it.
struct streamed_run
{
    event_queue queue;
    api::run_request wanted;
    std::function<bool()> is_caller_gone;
    std::thread thread;

    [[nodiscard]] auto is_abandoned() const -> bool
    {
        return this->queue.is_abandoned() || this->is_caller_gone();
    }

    ~streamed_run()
    {
        if (this->thread.joinable()) {
            this->queue.abandon();
            this->thread.join();
        }
    }

    /// Writes what is there.
    /// \return False when the caller is gone.
    auto write_next(httplib::DataSink& sink) -> bool
    {
        auto next = this->queue.take();
        if (next.conclusion) {
            next.events += last_event(*next.conclusion);
        }
        const auto written = sink.write(next.events.data(), next.events.size());
        if (!written) {
            this->queue.abandon();
        }
        if (next.conclusion) {
            sink.done();
            return true;
        }
        return written;
    }
};

} // namespace

auto entry_service::name() const -> std::string_view
{
    return entry_service_name;
}

auto entry_service::dependencies() const -> std::vector<std::string>
{
    return {http_service_name, node_service_name, execution_service_name};
}

auto entry_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->metrics = &kernel.metrics();
    return {};
}

auto entry_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->execution = kernel.find<executor>(execution_service_name);
    this->http = kernel.find<http_service>(http_service_name);
    this->node = kernel.find<node_service>(node_service_name);
    this->endpoints = kernel.find<endpoints_service>(endpoints_service_name);
    this->http->add_route(http_method::post, "/v1/run",
                          [this](const auto& request, auto& response) {
                              this->run(request, response);
                          });
    this->http->add_route(http_method::get, "/healthz",
                          [](const auto&, auto& response) {
                              response.set_content("ok\n", "text/plain");
                          });
    this->http->add_route(
        http_method::get, "/readyz", [this](const auto&, auto& response) {
            const auto ready = this->node->is_ready();
            response.status = ready ? http_ok : http_unavailable;
            response.set_content(ready ? "ready\n" : "not ready\n",
                                 "text/plain");
        });
    this->http->add_route(
        http_method::get, "/metrics", [this](const auto&, auto& response) {
            response.set_content(this->metrics->expose(), text_media_type);
        });
    return {};
}

auto entry_service::about_to_shutdown() -> void
{
    if (this->http != nullptr) {
        this->http->stop_listening();
    }
}

auto entry_service::run(const httplib::Request& request,
                        httplib::Response& response) -> void
{
    if (const auto error = this->admission_error()) {
        this->refuse(error, response);
        return;
    }
    const auto wanted = api::parse_run_request(request.body);
    if (!wanted) {
        this->refuse(wanted.error(), response);
        return;
    }
    if (wanted.value().stream) {
        this->run_streamed(wanted.value(), response);
    } else {
        this->run_whole(wanted.value(), response);
    }
}

auto entry_service::admission_error() const -> std::error_code
{
    switch (this->node->admission_state()) {
    case admission::open:
        return {};
    case admission::starting:
        return api::api_errc::no_configuration;
    case admission::isolated:
        return api::api_errc::node_isolated;
    case admission::leaving:
        return api::api_errc::node_leaving;
    }
    return api::api_errc::internal_error;
}

auto entry_service::refuse(std::error_code code, httplib::Response& response)
    -> void
{
    this->metrics
        ->counter_for(bad_requests_info, {{"reason", core::error_name(code)}})
        .add();
    auto described = api::problem();
    described.code = code;
    if (api::status_of(described) == http_unavailable) {
        described.retry_after = admission_retry_after;
    }
    if (code == api::api_errc::node_leaving && this->endpoints != nullptr) {
        described.endpoints =
            this->endpoints->addresses(this->node->identity().zone);
    }
    write_conclusion(described, response);
}

auto entry_service::run_whole(const api::run_request& wanted,
                              httplib::Response& response) -> void
{
    auto hooks = run_hooks();
    hooks.is_abandoned = http_service::caller_probe();
    write_conclusion(this->execution->run(wanted, hooks), response);
}

/// Runs the request on a thread of its own. What fails before the first token
/// is answered with its own status; the stream starts after that.
auto entry_service::run_streamed(const api::run_request& wanted,
                                 httplib::Response& response) -> void
{
    auto run = std::make_shared<streamed_run>();
    run->wanted = wanted;
    run->is_caller_gone = http_service::caller_probe();
    run->thread = std::thread([this, run = run.get()] {
        auto hooks = run_hooks();
        hooks.on_token = [run](std::uint64_t index, std::string_view text) {
            run->queue.push_token(index, text);
        };
        hooks.is_abandoned = [run] {
            return run->is_abandoned();
        };
        run->queue.push_conclusion(
            run_safely(*this->execution, run->wanted, hooks));
    });
    const auto early = run->queue.wait_for_first();
    if (early && std::holds_alternative<api::problem>(*early)) {
        run->thread.join();
        write_conclusion(*early, response);
        return;
    }
    response.set_chunked_content_provider(
        stream_media_type, [run](std::size_t, httplib::DataSink& sink) {
            return run->write_next(sink);
        });
}

} // namespace almondtiller::services
