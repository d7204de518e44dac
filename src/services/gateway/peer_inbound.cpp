#include "services/gateway/peer_mesh_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto peer_mesh::state::open_session(
    const std::shared_ptr<peer_inbound>& connection) -> void
{
    const auto weak = std::weak_ptr<peer_inbound>(connection);
    auto hooks = h2::h2_hooks();
    hooks.on_request = [this, weak](std::int32_t id, h2::h2_request request) {
        if (const auto open = weak.lock()) {
            this->on_request(open, id, std::move(request));
        }
    };
    hooks.on_cancelled = [weak](std::int32_t id) {
        const auto open = weak.lock();
        if (!open) {
            return;
        }
        const auto found = open->cancel_actions.find(id);
        if (found != open->cancel_actions.end()) {
            const auto action = std::move(found->second);
            open->cancel_actions.erase(found);
            action();
        }
    };
    connection->session =
        std::make_unique<h2::h2_session>(h2::h2_role::server, std::move(hooks));
}

auto peer_mesh::state::accept(std::shared_ptr<event::tcp_stream> stream) -> void
{
    auto connection = std::make_shared<peer_inbound>();
    connection->stream = std::move(stream);
    const auto weak = std::weak_ptr<peer_inbound>(connection);
    if (this->guard != nullptr) {
        const auto holder = this->guard->add(
            memory_budget::port_group::peers,
            connection->stream->peer_address(), [this, weak]() {
                if (const auto open = weak.lock()) {
                    this->end_inbound(open);
                }
            });
        if (!holder) {
            return;
        }
        connection->holder = *holder;
    }
    this->inbound.insert(connection);
    connection->stream->start(
        [this, weak](std::string_view bytes) {
            if (const auto open = weak.lock()) {
                this->on_inbound_bytes(open, bytes);
            }
        },
        [this, weak](std::error_code) {
            if (const auto open = weak.lock()) {
                this->end_inbound(open);
            }
        });
}

auto peer_mesh::state::on_inbound_bytes(
    const std::shared_ptr<peer_inbound>& connection, std::string_view bytes)
    -> void
{
    if (!connection->is_open) {
        return;
    }
    if (!connection->session) {
        // A connection that never sends anything gets no session, which would
        // hold some 10 KB.
        this->open_session(connection);
    }
    connection->is_receiving = true;
    const auto error = connection->session->receive(bytes);
    connection->is_receiving = false;
    if (error) {
        this->end_inbound(connection);
        return;
    }
    this->flush(connection);
    this->report_load(connection);
}

auto peer_mesh::state::report_load(
    const std::shared_ptr<peer_inbound>& connection) -> void
{
    using memory_budget::holder_phase;
    if (this->guard == nullptr || !connection->is_open) {
        return;
    }
    // A peer that has named itself may have work in progress.
    const auto phase = connection->sender.empty() ? holder_phase::reading
                                                  : holder_phase::running;
    const auto bytes =
        connection->session->held_bytes() + connection->stream->pending_bytes();
    if (!this->guard->update(connection->holder, {phase, bytes})) {
        this->end_inbound(connection);
    }
}

auto peer_mesh::state::end_inbound(
    const std::shared_ptr<peer_inbound>& connection) -> void
{
    if (!std::exchange(connection->is_open, false)) {
        return;
    }
    connection->stream->close();
    if (connection->session && !connection->is_receiving) {
        // Many connections may end before posted actions run.
        connection->session.reset();
    }
    if (this->guard != nullptr) {
        this->guard->remove(connection->holder);
    }
    const auto cancel_actions = std::exchange(connection->cancel_actions, {});
    for (const auto& [stream, action] : cancel_actions) {
        action();
    }
    this->inbound.erase(connection);
    // This function may be called from within the session, so the connection is
    // destroyed only after the call stack has unwound.
    this->event_loop.post([connection]() {});
    if (this->caller_lost && !connection->sender.empty()) {
        this->caller_lost(connection->sender);
    }
}

auto peer_mesh::state::on_request(
    const std::shared_ptr<peer_inbound>& connection, std::int32_t id,
    h2::h2_request request) -> void
{
    connection->sender = core::node_id(request.sender);
    const auto weak = std::weak_ptr<peer_inbound>(connection);
    const auto answer = [this, weak,
                         id](const core::result<std::string>& value) {
        const auto open = weak.lock();
        if (!open || !open->is_open) {
            return;
        }
        open->cancel_actions.erase(id);
        open->session->submit_answer(id, value);
        this->flush(open);
    };
    if (request.topic == heartbeat_topic) {
        if (this->status_received) {
            this->status_received(connection->sender, request.body);
        }
        answer(this->status ? this->status() : std::string());
        return;
    }
    const auto found = this->handlers.find(request.topic);
    if (found == this->handlers.end()) {
        answer(make_error_code(fleet_errc::unknown_topic));
        return;
    }
    auto is_answered = std::make_shared<bool>(false);
    auto cancel = found->second(
        connection->sender, std::move(request.body),
        [answer, is_answered](const core::result<std::string>& value) {
            *is_answered = true;
            answer(value);
        });
    if (cancel && !*is_answered) {
        connection->cancel_actions[id] = std::move(cancel);
    }
}

auto peer_mesh::state::flush(const std::shared_ptr<peer_inbound>& connection)
    -> void
{
    if (std::exchange(connection->is_flushing, true)) {
        return;
    }
    this->event_loop.post([weak = this->weak_from_this(), connection]() {
        connection->is_flushing = false;
        const auto self = weak.lock();
        if (connection->is_open && self) {
            connection->stream->write(connection->session->take_output());
            self->report_load(connection);
        }
    });
}

} // namespace almondtiller::gateway
