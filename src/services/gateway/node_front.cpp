#include "services/gateway/node_state.h"

#include "dispatch/leaving_admission.h"
#include "dispatch/outage_retry.h"
#include "platform/caller_messages.h"
#include "services/gateway/directory_choice.h"
#include "services/gateway/owner_choice.h"
#include "services/gateway/rollout_link.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

auto to_holder_load(const http1::connection_load& load)
    -> memory_budget::holder_load
{
    using memory_budget::holder_phase;
    switch (load.phase) {
    case http1::connection_phase::idle:
        return {holder_phase::idle, load.bytes};
    case http1::connection_phase::reading:
        return {holder_phase::reading, load.bytes};
    case http1::connection_phase::running:
        return {holder_phase::running, load.bytes};
    }
    return {};
}

} // namespace

auto node::state::make_listen_steps()
    -> std::vector<std::function<std::error_code()>>
{
    using handler = void (state::*)(const http1::request_message&,
                                    const std::shared_ptr<http1::exchange>&);
    const auto open = [this](const core::endpoint& address, handler handles,
                             memory_budget::port_group group) {
        return [this, address, handles, group]() {
            return this->listen(
                address,
                [this, handles](auto message, auto exchange) {
                    (this->*handles)(message, exchange);
                },
                group);
        };
    };
    using memory_budget::port_group;
    auto steps = std::vector<std::function<std::error_code()>>{
        [this]() { return this->mesh.listen(); },
        open(this->settings.front, &state::on_front_request,
             port_group::callers),
        open(this->settings.readiness, &state::on_readiness_check,
             port_group::control)};
    if (this->settings.directory != this->settings.readiness &&
        this->settings.directory != this->settings.front) {
        steps.push_back(open(this->settings.directory,
                             &state::on_directory_request,
                             port_group::control));
    }
    return steps;
}

auto node::state::continue_start() -> std::error_code
{
    while (!this->listen_steps.empty()) {
        const auto error = this->listen_steps.front()();
        if (error == std::errc::address_in_use ||
            error == std::errc::address_not_available) {
            if (!std::exchange(this->is_address_taken, true)) {
                this->log.write(severity::failure, "address_not_available",
                                {{"error", error.message()}});
            }
            this->listen_timer.start(listen_retry_delay);
            return {};
        }
        if (error) {
            return error;
        }
        this->listen_steps.erase(this->listen_steps.begin());
    }
    const auto error = this->listen(
        this->settings.metrics,
        [this](auto message, auto exchange) {
            this->on_metrics_request(message, exchange);
        },
        memory_budget::port_group::control);
    if (error) {
        this->log.write(severity::notice, "metrics_not_served",
                        {{"error", error.message()}});
    }
    this->log.write(severity::notice, "listening", {});
    this->follower.start(this->own_entry());
    this->sweep_timer.start_repeating(sweep_interval, sweep_interval);
    return {};
}

auto node::state::retry_start() -> void
{
    if (this->is_leaving) {
        return;
    }
    if (const auto error = this->continue_start()) {
        this->log.write(severity::failure, "cannot_listen",
                        {{"error", error.message()}});
        this->listen_timer.start(listen_retry_delay);
    }
}

auto node::state::listen(const core::endpoint& address,
                         std::function<void(http1::request_message,
                                            std::shared_ptr<http1::exchange>)>
                             on_request,
                         memory_budget::port_group group) -> std::error_code
{
    auto options = std::make_shared<http1::server_options>();
    options->on_request = std::move(on_request);
    const auto limits = [this]() {
        return this->serving_state.config()
                   ? this->serving_state.config()->limits
                   : serving::caller_limits();
    };
    options->limits = [limits]() {
        return limits().parser;
    };
    options->header_timeout = [limits]() {
        return limits().header_timeout;
    };
    options->idle_timeout = [limits]() {
        return limits().idle_timeout + std::chrono::seconds(1);
    };
    options->is_draining = [this]() {
        return this->is_leaving;
    };
    options->on_closed = [this](const auto& connection) {
        const auto found = this->connections.find(connection);
        if (found != this->connections.end()) {
            this->overload.remove(found->second);
            this->connections.erase(found);
        }
    };
    options->on_idle_timeout = [this, limits](core::duration idle_for) {
        const auto& config = this->serving_state.config();
        this->log.write(severity::notice, "idle_connection_closed",
                        {{"idle_ms", ms_text(idle_for)},
                         {"limit_ms", ms_text(limits().idle_timeout)},
                         {"config", config ? std::to_string(config->version)
                                           : std::string("none")}});
    };
    options->on_bad_request = [this](std::error_code error) {
        this->metrics.count_outcome("malformed", error.message());
        this->log.write(severity::failure, "malformed_request",
                        {{"error", error.message()}});
    };
    options->on_refused = [this](const auto& message, const auto& exchange) {
        const auto decoded = adapter::decode_request(message);
        exchange->respond(unavailable,
                          adapter::own_answer_headers(
                              decoded ? decoded.value().id : core::request_id(),
                              overload_retry_after),
                          "");
        this->metrics.count_outcome("rejected", "overload");
    };
    options->on_unread = [this]() {
        this->overload.count_unread();
    };
    const auto shared_options =
        std::shared_ptr<const http1::server_options>(std::move(options));
    auto listener = std::make_unique<event::tcp_listener>(
        this->event_loop, [this, shared_options, group](auto stream) {
            this->accept(std::move(stream), shared_options, group);
        });
    const auto error = listener->listen(address);
    if (!error) {
        this->listeners.push_back(std::move(listener));
    }
    return error;
}

auto node::state::accept(
    std::shared_ptr<event::tcp_stream> stream,
    const std::shared_ptr<const http1::server_options>& options,
    memory_budget::port_group group) -> void
{
    // A limit of the bytes that the kernel holds for one connection.
    constexpr auto kernel_buffer_bytes = 128 * 1024;
    stream->limit_buffers(kernel_buffer_bytes);
    const auto address = stream->peer_address();
    auto connection = std::make_shared<http1::server_connection>(
        this->event_loop, std::move(stream), options);
    const auto weak = std::weak_ptr<http1::server_connection>(connection);
    const auto holder = this->overload.add(group, address, [weak]() {
        if (const auto open = weak.lock()) {
            open->end_for_overload();
        }
    });
    if (!holder) {
        return;
    }
    this->connections[connection] = *holder;
    connection->start([this, id = *holder](const auto& load) {
        return this->overload.update(id, to_holder_load(load));
    });
}

auto node::state::on_readiness_check(
    const http1::request_message& message,
    const std::shared_ptr<http1::exchange>& exchange) -> void
{
    if (adapter::decode_directory_question(message)) {
        this->on_directory_request(message, exchange);
        return;
    }
    if (!adapter::is_readiness_check(message)) {
        exchange->respond(not_found, {}, "");
        return;
    }
    exchange->respond(this->is_ready ? ok : unavailable, {}, "");
}

auto node::state::on_metrics_request(
    const http1::request_message& message,
    const std::shared_ptr<http1::exchange>& exchange) -> void
{
    static_cast<void>(message);
    update_metrics(this->registry, this->view(), this->serving_state);
    if (this->rollouts) {
        update_rollout_metrics(this->registry, *this->rollouts);
    }
    exchange->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                      this->registry.expose());
}

auto node::state::on_directory_request(
    const http1::request_message& message,
    const std::shared_ptr<http1::exchange>& exchange) -> void
{
    const auto question = adapter::decode_directory_question(message);
    if (!question) {
        exchange->respond(not_found, {}, "");
        return;
    }
    auto ready = std::vector<front_node>();
    this->visit_ready_nodes([&ready](const ready_node& node) {
        ready.push_back({node.zone, node.front});
    });
    if (ready.empty()) {
        exchange->respond(unavailable, {}, "");
        return;
    }
    exchange->respond(
        ok, {{"Content-Type", "application/json"}},
        adapter::encode_directory_answer(
            choose_fronts(std::move(ready), question->zone, this->random),
            std::min(directory_lifetime,
                     core::milliseconds(this->settings.max_directory_ttl))));
}

auto node::state::reject(const std::shared_ptr<http1::exchange>& exchange,
                         const core::request_id& request, int status,
                         std::string_view reason,
                         std::optional<core::milliseconds> retry_after) -> void
{
    exchange->respond(status, adapter::own_answer_headers(request, retry_after),
                      "");
    this->metrics.count_outcome("rejected", reason);
    const auto& config = this->serving_state.config();
    this->log.write(severity::failure, "rejected",
                    {{"request", request.str()},
                     {"reason", std::string(reason)},
                     {"status", std::to_string(status)},
                     {"config", config ? std::to_string(config->version)
                                       : std::string("none")}});
}

auto node::state::accepts(const serving::caller_request& request,
                          const serving::route& route) const -> bool
{
    if (!this->is_leaving) {
        return true;
    }
    const auto elapsed = this->event_loop.now() - this->leave_started;
    const auto time_limit =
        std::min(request.deadline.value_or(default_deadline), route.timeout);
    return dispatch::accepts_while_leaving(
        elapsed, this->settings.grace - stop_margin - elapsed, time_limit);
}

auto node::state::on_front_request(
    const http1::request_message& message,
    const std::shared_ptr<http1::exchange>& exchange) -> void
{
    auto decoded = adapter::decode_request(message);
    if (!decoded) {
        this->reject(exchange, {}, bad_request, "no_request_id", std::nullopt);
        return;
    }
    auto& request = decoded.value();
    if (!this->follower.is_complete()) {
        this->reject(exchange, request.id, unavailable, "not_ready",
                     dispatch::outage_retry(
                         request.deadline.value_or(default_deadline),
                         this->follower.is_store_lost(), this->random.unit()));
        return;
    }
    const auto config = this->serving_state.config();
    const auto* route = config->find_route(request.host, request.target);
    if (route == nullptr) {
        this->reject(exchange, request.id, not_found, "no_route", std::nullopt);
        return;
    }
    if (!this->accepts(request, *route)) {
        this->reject(exchange, request.id, unavailable, "leaving",
                     leaving_retry_after);
        return;
    }
    const serving::workspace* workspace = nullptr;
    if (config->has_workspaces && route->needs_key) {
        workspace = config->find_workspace(request.api_key);
        if (workspace == nullptr) {
            this->reject(exchange, request.id, unauthorized, "unknown_key",
                         std::nullopt);
            return;
        }
    }
    auto flow = std::make_shared<request_flow>(
        this->shared, std::move(request), exchange, config, *route, workspace);
    this->flows.insert(flow);
    flow->start();
}

} // namespace almondtiller::gateway
