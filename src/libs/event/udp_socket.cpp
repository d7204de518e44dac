#include "event/udp_socket.h"

#include "event/loop.h"
#include "event/socket_address.h"
#include "event/stream_state.h"

#include <uv.h>

#include <array>
#include <utility>

namespace almondtiller::event {

namespace {

constexpr auto max_datagram_bytes = std::size_t(65536);

auto to_endpoint(const sockaddr* address) -> core::endpoint
{
    const auto* socket_address = reinterpret_cast<const sockaddr_in*>(address);
    auto text = std::array<char, INET_ADDRSTRLEN>();
    uv_ip4_name(socket_address, text.data(), text.size());
    return {text.data(), ntohs(socket_address->sin_port)};
}

} // namespace

/// Freed when libuv has closed the handle.
struct udp_socket::state
{
    uv_udp_t handle{};
    datagram_hook on_datagram;
    bool is_bound = false;
    std::array<char, max_datagram_bytes> buffer{};
};

udp_socket::udp_socket(loop& event_loop, datagram_hook on_datagram)
    : data(new state())
{
    this->data->on_datagram = std::move(on_datagram);
    uv_udp_init(event_loop.native(), &this->data->handle);
    this->data->handle.data = this->data;
}

udp_socket::~udp_socket()
{
    this->close();
}

auto udp_socket::bind(const core::endpoint& address) -> std::error_code
{
    const auto socket_address = to_socket_address(address);
    if (!socket_address) {
        return socket_address.error();
    }
    auto status = uv_udp_bind(&this->data->handle,
                              as_sockaddr(socket_address.value()), 0);
    if (status == 0) {
        status = uv_udp_recv_start(
            &this->data->handle,
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto& bytes = static_cast<state*>(handle->data)->buffer;
                *buffer = uv_buf_init(bytes.data(), bytes.size());
            },
            [](uv_udp_t* handle, ssize_t size, const uv_buf_t* buffer,
               const sockaddr* sender, unsigned) {
                if (size <= 0 || sender == nullptr) {
                    return;
                }
                // The hook may close the socket.
                const auto hook =
                    static_cast<state*>(handle->data)->on_datagram;
                hook(std::string_view(buffer->base, std::size_t(size)),
                     to_endpoint(sender));
            });
    }
    this->data->is_bound = status == 0;
    return status == 0 ? std::error_code() : to_error_code(status);
}

auto udp_socket::port() const -> int
{
    if (this->data == nullptr || !this->data->is_bound) {
        return 0;
    }
    auto bound = sockaddr_in();
    auto size = int(sizeof(bound));
    uv_udp_getsockname(&this->data->handle, reinterpret_cast<sockaddr*>(&bound),
                       &size);
    return ntohs(bound.sin_port);
}

auto udp_socket::send(const core::endpoint& target, std::string_view bytes)
    -> std::error_code
{
    if (this->data == nullptr) {
        return make_error_code(std::errc::not_connected);
    }
    const auto socket_address = to_socket_address(target);
    if (!socket_address) {
        return socket_address.error();
    }
    // libuv takes a mutable buffer but only reads from it.
    const auto buffer =
        uv_buf_init(const_cast<char*>(bytes.data()), bytes.size());
    const auto status = uv_udp_try_send(&this->data->handle, &buffer, 1,
                                        as_sockaddr(socket_address.value()));
    return status >= 0 ? std::error_code() : to_error_code(status);
}

auto udp_socket::close() -> void
{
    if (this->data == nullptr) {
        return;
    }
    uv_close(
        reinterpret_cast<uv_handle_t*>(&this->data->handle),
        [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
    this->data = nullptr;
}

} // namespace almondtiller::event
