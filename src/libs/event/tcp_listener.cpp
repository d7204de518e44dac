#include "event/tcp_listener.h"

#include "event/loop.h"
#include "event/socket_address.h"
#include "event/stream_state.h"

#include <memory>
#include <utility>

namespace almondtiller::event {

namespace {

constexpr auto accept_backlog = 512;

/// Connections accepted before other events are processed. libuv accepts until
/// none waits, so callers that connect faster than that would stop the loop.
constexpr auto max_accepts_in_turn = 64;

} // namespace

/// Freed when libuv has closed the handle.
struct tcp_listener::state
{
    uv_tcp_t handle{};
    loop* event_loop = nullptr;
    accept_hook on_accept;
    bool is_closing = false;
    int accepts_in_turn = 0;
    /// Whether a connection waits for the next turn. libuv reports no other
    /// until it is accepted.
    bool is_deferred = false;
    std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);

    auto on_connection() -> void
    {
        if (this->accepts_in_turn == max_accepts_in_turn) {
            this->is_deferred = true;
            return;
        }
        if (this->accepts_in_turn++ == 0) {
            this->event_loop->post(
                [this, weak = std::weak_ptr<bool>(this->is_alive)]() {
                    if (!weak.expired() && !this->is_closing) {
                        this->begin_turn();
                    }
                });
        }
        this->accept();
    }

    auto begin_turn() -> void
    {
        this->accepts_in_turn = 0;
        if (std::exchange(this->is_deferred, false)) {
            this->on_connection();
        }
    }

    auto accept() -> void
    {
        auto* accepted = new tcp_stream::state();
        accepted->event_loop = this->event_loop;
        uv_tcp_init(this->event_loop->native(), &accepted->handle);
        accepted->handle.data = accepted;
        if (uv_accept(reinterpret_cast<uv_stream_t*>(&this->handle),
                      accepted->stream()) != 0) {
            accepted->close();
            return;
        }
        set_socket_options(accepted->handle);
        this->on_accept(std::make_shared<tcp_stream>(accepted));
    }
};

tcp_listener::tcp_listener(loop& event_loop, accept_hook on_accept)
    : data(new state())
{
    this->data->event_loop = &event_loop;
    this->data->on_accept = std::move(on_accept);
    uv_tcp_init(event_loop.native(), &this->data->handle);
    this->data->handle.data = this->data;
}

tcp_listener::~tcp_listener()
{
    this->close();
}

auto tcp_listener::listen(const core::endpoint& address) -> std::error_code
{
    const auto socket_address = to_socket_address(address);
    if (!socket_address) {
        return socket_address.error();
    }
    auto status = uv_tcp_bind(&this->data->handle,
                              as_sockaddr(socket_address.value()), 0);
    if (status == 0) {
        status = uv_listen(
            reinterpret_cast<uv_stream_t*>(&this->data->handle), accept_backlog,
            [](uv_stream_t* server, int result) {
                if (result == 0) {
                    static_cast<state*>(server->data)->on_connection();
                }
            });
    }
    return status == 0 ? std::error_code() : to_error_code(status);
}

auto tcp_listener::port() const -> int
{
    if (this->data == nullptr) {
        return 0;
    }
    auto bound = sockaddr_in();
    auto size = int(sizeof(bound));
    uv_tcp_getsockname(&this->data->handle, reinterpret_cast<sockaddr*>(&bound),
                       &size);
    return ntohs(bound.sin_port);
}

auto tcp_listener::close() -> void
{
    if (this->data == nullptr) {
        return;
    }
    this->data->is_closing = true;
    uv_close(
        reinterpret_cast<uv_handle_t*>(&this->data->handle),
        [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
    this->data = nullptr;
}

} // namespace almondtiller::event
