#include "event/loop.h"
#include "event/stream_state.h"
#include "event/timer.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace almondtiller::event {

namespace {

/// Idle time before the first keep-alive probe, and between probes. A dead
/// connection must be detected well within the three seconds that an instance
/// has to recover from a network fault.
constexpr auto keepalive_idle_s = 1;
constexpr auto keepalive_interval_s = 1;
constexpr auto keepalive_probe_count = 2;
/// The connection fails when sent data stays unacknowledged for this long.
constexpr auto user_timeout_ms = 3000;

/// Read buffer of all streams of a thread; reads on a loop never overlap.
thread_local std::array<char, 65536> read_buffer;

struct write_request
{
    uv_write_t request{};
    std::string bytes;
    tcp_stream::state* target = nullptr;
};

struct connect_request
{
    uv_connect_t request{};
    tcp_stream::state* target = nullptr;
    std::unique_ptr<timer> timeout_timer;
    tcp_stream::connect_hook done;
};

auto finish_connect(connect_request* pending, std::error_code error) -> void
{
    const auto done = std::exchange(pending->done, nullptr);
    pending->timeout_timer.reset();
    if (!done) {
        return;
    }
    if (error) {
        pending->target->close();
        done(nullptr, error);
        return;
    }
    set_socket_options(pending->target->handle);
    done(std::make_shared<tcp_stream>(pending->target), {});
}

/// \param read_error What the last read has reported; none for the end of the
///        peer's bytes.
/// \return The error that has ended a connection; none after a clean end. The
///         kernel reports an error to one call only, and to no read after the
///         peer has closed its side.
auto error_at_end(const tcp_stream::state& state, int descriptor,
                  std::error_code read_error) -> std::error_code
{
    if (state.write_error || read_error) {
        return state.write_error ? state.write_error : read_error;
    }
    auto error = 0;
    auto size = socklen_t(sizeof(error));
    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        return {};
    }
    return {error, std::generic_category()};
}

/// Reads the remaining bytes and determines how the connection ended. libuv
/// reports an end of file when a hang-up follows a partial read, even if the
/// peer has reset the connection or more bytes can be read.
auto read_until_end(tcp_stream::state* state) -> void
{
    auto descriptor = uv_os_fd_t();
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&state->handle),
                  &descriptor) != 0) {
        state->end({});
        return;
    }
    while (!state->is_closing) {
        const auto size = recv(descriptor, read_buffer.data(),
                               read_buffer.size(), MSG_DONTWAIT);
        if (size <= 0) {
            const auto error =
                size == 0 ? std::error_code()
                          : std::error_code(errno, std::generic_category());
            state->end(error_at_end(*state, descriptor, error));
            return;
        }
        const auto hook = state->on_bytes;
        hook(std::string_view(read_buffer.data(), std::size_t(size)));
    }
}

/// Ends a connection to which no more can be written, after the bytes that the
/// peer has sent before.
auto end_after_write_error(tcp_stream::state* state) -> void
{
    if (state->is_reading && !state->is_ended && !state->is_closing) {
        read_until_end(state);
    } else {
        state->end(state->write_error);
    }
}

auto on_read(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) -> void
{
    auto* state = static_cast<tcp_stream::state*>(stream->data);
    if (size == 0 || state->is_closing) {
        return;
    }
    if (size == UV_EOF) {
        read_until_end(state);
        return;
    }
    if (size < 0) {
        state->end(to_error_code(int(size)));
        return;
    }
    // The hook may replace on_bytes while it runs.
    const auto hook = state->on_bytes;
    hook(std::string_view(buffer->base, std::size_t(size)));
}

auto start_reading(tcp_stream::state* state) -> void
{
    state->is_reading = true;
    uv_read_start(
        state->stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
            *buffer = uv_buf_init(read_buffer.data(), read_buffer.size());
        },
        on_read);
}

} // namespace

auto to_error_code(int status) -> std::error_code
{
    return {-status, std::generic_category()};
}

auto set_socket_options(uv_tcp_t& handle) -> void
{
    uv_tcp_nodelay(&handle, 1);
    auto descriptor = uv_os_fd_t();
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) != 0) {
        return;
    }
    const auto set = [descriptor](int level, int name, int value) {
        setsockopt(descriptor, level, name, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probe_count);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

auto tcp_stream::state::close() -> void
{
    if (this->is_closing) {
        return;
    }
    this->is_closing = true;
    this->event_loop->post(
        [hooks = std::pair(std::move(this->on_bytes), std::move(this->on_end)),
         drained = std::move(this->on_drained)]() {});
    this->on_bytes = nullptr;
    this->on_end = nullptr;
    this->on_drained = nullptr;
    auto* const native = reinterpret_cast<uv_handle_t*>(&this->handle);
    if (uv_is_closing(native) != 0) {
        // The loop is being destroyed and still refers to the handle.
        return;
    }
    uv_close(native, [](uv_handle_t* handle) {
        delete static_cast<state*>(handle->data);
    });
}

auto tcp_stream::state::end(std::error_code error) -> void
{
    if (this->is_ended || this->is_closing) {
        return;
    }
    this->is_ended = true;
    if (this->is_reading) {
        uv_read_stop(this->stream());
    }
    const auto hook = this->on_end;
    if (hook) {
        hook(error);
    }
}

tcp_stream::tcp_stream(state* adopted) : data(adopted)
{}

tcp_stream::~tcp_stream()
{
    this->close();
}

auto tcp_stream::connect(loop& event_loop, const core::endpoint& address,
                         core::milliseconds timeout, connect_hook on_connected)
    -> void
{
    auto* target = new state();
    target->event_loop = &event_loop;
    uv_tcp_init(event_loop.native(), &target->handle);
    target->handle.data = target;
    auto* pending = new connect_request();
    pending->target = target;
    pending->done = std::move(on_connected);
    pending->request.data = pending;
    pending->timeout_timer = std::make_unique<timer>(event_loop, [pending]() {
        finish_connect(pending, std::make_error_code(std::errc::timed_out));
    });
    pending->timeout_timer->start(timeout);
    auto socket_address = sockaddr_in();
    auto status =
        uv_ip4_addr(address.ip.c_str(), address.port, &socket_address);
    if (status == 0) {
        status = uv_tcp_connect(
            &pending->request, &target->handle,
            reinterpret_cast<const sockaddr*>(&socket_address),
            [](uv_connect_t* request, int result) {
                auto* self = static_cast<connect_request*>(request->data);
                finish_connect(self, result == 0 ? std::error_code()
                                                 : to_error_code(result));
                delete self;
            });
    }
    if (status != 0) {
        event_loop.post([pending, status]() {
            finish_connect(pending, to_error_code(status));
            delete pending;
        });
    }
}

auto tcp_stream::limit_buffers(int bytes) -> void
{
    auto descriptor = uv_os_fd_t();
    if (!this->is_open() ||
        uv_fileno(reinterpret_cast<uv_handle_t*>(&this->data->handle),
                  &descriptor) != 0) {
        return;
    }
    for (const auto name : {SO_RCVBUF, SO_SNDBUF}) {
        setsockopt(descriptor, SOL_SOCKET, name, &bytes, sizeof(bytes));
    }
}

auto tcp_stream::peer_address() const -> std::string
{
    auto address = sockaddr_in();
    auto size = int(sizeof(address));
    auto text = std::array<char, INET_ADDRSTRLEN>();
    if (!this->is_open() ||
        uv_tcp_getpeername(&this->data->handle,
                           reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        uv_ip4_name(&address, text.data(), text.size()) != 0) {
        return {};
    }
    return text.data();
}

auto tcp_stream::sent_bytes() const -> std::uint64_t
{
    return this->is_open()
               ? this->data->written -
                     uv_stream_get_write_queue_size(this->data->stream())
               : 0;
}

auto tcp_stream::start(std::function<void(std::string_view)> on_bytes,
                       std::function<void(std::error_code)> on_end) -> void
{
    if (!this->is_open()) {
        return;
    }
    this->data->on_bytes = std::move(on_bytes);
    this->data->on_end = std::move(on_end);
    if (!this->data->is_reading) {
        start_reading(this->data);
    }
}

auto tcp_stream::write(std::string bytes) -> void
{
    if (!this->is_open() || this->data->closes_when_sent || bytes.empty()) {
        return;
    }
    this->data->written += bytes.size();
    auto sent = std::size_t(0);
    if (this->data->pending == 0) {
        auto all_bytes = uv_buf_init(bytes.data(), unsigned(bytes.size()));
        const auto status = uv_try_write(this->data->stream(), &all_bytes, 1);
        if (status < 0 && status != UV_EAGAIN) {
            this->data->write_error = to_error_code(status);
            this->data->event_loop->post([kept = this->shared_from_this()]() {
                if (kept->data != nullptr) {
                    end_after_write_error(kept->data);
                }
            });
            return;
        }
        sent = status > 0 ? std::size_t(status) : 0;
    }
    if (sent == bytes.size()) {
        return;
    }
    auto* request = new write_request();
    request->bytes = bytes.substr(sent);
    request->target = this->data;
    request->request.data = request;
    this->data->pending += request->bytes.size();
    auto rest =
        uv_buf_init(request->bytes.data(), unsigned(request->bytes.size()));
    uv_write(&request->request, this->data->stream(), &rest, 1,
             [](uv_write_t* raw, int status) {
                 const auto self = std::unique_ptr<write_request>(
                     static_cast<write_request*>(raw->data));
                 auto* target = self->target;
                 target->pending -= self->bytes.size();
                 if (target->is_closing) {
                     return;
                 }
                 if (status < 0) {
                     target->write_error = to_error_code(status);
                     end_after_write_error(target);
                     return;
                 }
                 if (target->pending == 0 && target->closes_when_sent) {
                     target->close();
                 } else if (target->pending == 0 && target->on_drained) {
                     std::exchange(target->on_drained, nullptr)();
                 }
             });
}

auto tcp_stream::pending_bytes() const -> std::size_t
{
    return this->is_open() ? this->data->pending : 0;
}

auto tcp_stream::unacknowledged_bytes() const -> std::size_t
{
    auto descriptor = uv_os_fd_t();
    if (!this->is_open() ||
        uv_fileno(reinterpret_cast<uv_handle_t*>(&this->data->handle),
                  &descriptor) != 0) {
        return 0;
    }
    auto in_kernel = 0;
    if (ioctl(descriptor, SIOCOUTQ, &in_kernel) != 0) {
        in_kernel = 0;
    }
    return this->data->pending + std::size_t(in_kernel);
}

auto tcp_stream::on_drained(std::function<void()> action) -> void
{
    if (this->is_open()) {
        this->data->on_drained = std::move(action);
    }
}

auto tcp_stream::pause_reading() -> void
{
    if (this->is_open() && this->data->is_reading) {
        this->data->is_reading = false;
        uv_read_stop(this->data->stream());
    }
}

auto tcp_stream::resume_reading() -> void
{
    if (this->is_open() && !this->data->is_reading && !this->data->is_ended) {
        start_reading(this->data);
    }
}

auto tcp_stream::close_when_sent() -> void
{
    if (!this->is_open()) {
        return;
    }
    if (this->data->pending == 0) {
        this->close();
        return;
    }
    this->data->closes_when_sent = true;
}

auto tcp_stream::close() -> void
{
    if (this->data != nullptr) {
        std::exchange(this->data, nullptr)->close();
    }
}

auto tcp_stream::is_open() const -> bool
{
    return this->data != nullptr && !this->data->is_closing;
}

} // namespace almondtiller::event
