#include "gateway_world/raw_server.h"

#include "event/socket_address.h"
#include "event/stream_state.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <sstream>
#include <system_error>
#include <utility>

namespace almondtiller::gateway_world {

namespace {

constexpr auto accept_backlog = 512;

auto answer_head(int status, const http1::header_list& headers) -> std::string
{
    // A status has three digits.
    constexpr auto padding = 1000;
    auto head = "HTTP/1.1 " + std::to_string(padding + status).substr(1) + " " +
                std::string(http1::reason_phrase(status)) + "\r\n";
    for (const auto& field : headers) {
        head += field.name + ": " + field.value + "\r\n";
    }
    return head;
}

} // namespace

/// Owns one connection; serves its requests one at a time.
class raw_connection : public std::enable_shared_from_this<raw_connection>
{
public:
    raw_connection(std::shared_ptr<event::tcp_stream> accepted, int socket,
                   raw_server::handler handle_request)
        : stream(std::move(accepted)),
          descriptor(socket),
          on_request(std::move(handle_request))
    {}

    auto start(std::function<void()> on_closed) -> void
    {
        this->closed = std::move(on_closed);
        const auto weak = this->weak_from_this();
        this->stream->start(
            [weak](std::string_view bytes) {
                if (const auto self = weak.lock()) {
                    self->parser.feed(bytes);
                    self->read_next();
                }
            },
            [weak](std::error_code) {
                if (const auto self = weak.lock()) {
                    self->close();
                }
            });
    }

    auto write(std::string bytes) -> void
    {
        this->stream->write(std::move(bytes));
    }

    /// Sends bytes when the next request with this target has arrived.
    auto write_late(std::string bytes, std::string target) -> void
    {
        this->late = std::move(bytes);
        this->late_target = std::move(target);
    }

    [[nodiscard]] auto pending_bytes() const -> std::size_t
    {
        return this->stream->pending_bytes();
    }

    auto on_answered(bool is_end) -> void
    {
        this->current.reset();
        if (is_end) {
            this->stream->close_when_sent();
            this->report_closed();
        } else {
            this->read_next();
        }
    }

    auto close() -> void
    {
        const auto self = this->shared_from_this();
        if (const auto open = std::exchange(this->current, nullptr)) {
            if (open->framing == answer_framing::connection &&
                this->stream->is_open()) {
                const auto now = linger{1, 0};
                setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now,
                           sizeof(now));
            }
            open->connection.reset();
        }
        this->stream->close();
        this->report_closed();
    }

private:
    auto read_next() -> void
    {
        if (this->current) {
            return;
        }
        auto error = std::error_code();
        auto request = this->parser.next(error);
        if (error) {
            this->close();
        } else if (request) {
            if (this->late_target.empty() ||
                this->late_target == request->target) {
                this->write(std::exchange(this->late, {}));
            }
            this->current =
                std::make_shared<raw_exchange>(this->shared_from_this());
            this->on_request(std::move(*request), this->current);
        }
    }

    auto report_closed() -> void
    {
        if (const auto hook = std::exchange(this->closed, nullptr)) {
            hook();
        }
    }

    std::shared_ptr<event::tcp_stream> stream;
    int descriptor;
    raw_server::handler on_request;
    std::function<void()> closed;
    http1::request_parser parser;
    std::string late;
    std::string late_target;
    std::shared_ptr<raw_exchange> current;
};

raw_exchange::raw_exchange(std::shared_ptr<raw_connection> caller)
    : connection(std::move(caller))
{}

auto raw_exchange::respond(int status, const http1::header_list& headers,
                           std::string_view body) -> void
{
    this->start(status, headers, answer_framing::length, body.size());
    this->send(body);
    this->finish();
}

auto raw_exchange::start(int status, const http1::header_list& headers,
                         answer_framing wanted, std::size_t length) -> void
{
    if (this->framing || !this->connection) {
        return;
    }
    this->framing = wanted;
    auto head = answer_head(status, headers);
    if (wanted == answer_framing::length) {
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    } else if (wanted == answer_framing::chunks) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    this->connection->write(head + "\r\n");
}

auto raw_exchange::send(std::string_view piece) -> void
{
    if (!this->framing || !this->connection || piece.empty()) {
        return;
    }
    if (this->framing != answer_framing::chunks) {
        this->connection->write(std::string(piece));
        return;
    }
    auto chunk = std::ostringstream();
    chunk << std::hex << piece.size() << "\r\n" << piece << "\r\n";
    this->connection->write(chunk.str());
}

auto raw_exchange::finish() -> void
{
    if (!this->framing || !this->connection) {
        return;
    }
    if (this->framing == answer_framing::chunks) {
        this->connection->write("0\r\n\r\n");
    }
    std::exchange(this->connection, nullptr)
        ->on_answered(this->framing == answer_framing::connection);
}

auto raw_exchange::send_late(int status, const http1::header_list& headers,
                             std::string_view body, std::string target) -> void
{
    if (this->connection) {
        this->connection->write_late(
            answer_head(status, headers) + "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + std::string(body),
            std::move(target));
    }
}

auto raw_exchange::abort() -> void
{
    if (const auto kept = this->connection) {
        kept->close();
    }
}

auto raw_exchange::pending_bytes() const -> std::size_t
{
    return this->connection ? this->connection->pending_bytes() : 0;
}

auto raw_exchange::is_started() const -> bool
{
    return this->framing.has_value();
}

auto raw_exchange::is_finished() const -> bool
{
    return !this->connection;
}

/// Freed when libuv has closed the handle.
struct raw_server::listener
{
    uv_tcp_t handle{};
    raw_server* server = nullptr;
    /// Whether libuv holds a connection, and waits until it is accepted.
    bool has_waiting = false;

    auto stream() -> uv_stream_t*
    {
        return reinterpret_cast<uv_stream_t*>(&this->handle);
    }

    auto set_backlog(int length) -> void
    {
        auto descriptor = uv_os_fd_t();
        uv_fileno(reinterpret_cast<uv_handle_t*>(&this->handle), &descriptor);
        ::listen(descriptor, length);
    }

    auto accept() -> void
    {
        this->has_waiting = this->server->is_still;
        if (this->has_waiting) {
            return;
        }
        auto* accepted = new event::tcp_stream::state();
        accepted->event_loop = &this->server->event_loop;
        uv_tcp_init(this->handle.loop, &accepted->handle);
        accepted->handle.data = accepted;
        auto descriptor = uv_os_fd_t();
        if (uv_accept(this->stream(), accepted->stream()) != 0 ||
            uv_fileno(reinterpret_cast<uv_handle_t*>(&accepted->handle),
                      &descriptor) != 0) {
            accepted->close();
            return;
        }
        event::set_socket_options(accepted->handle);
        this->server->on_accept(std::make_shared<event::tcp_stream>(accepted),
                                descriptor);
    }
};

raw_server::raw_server(event::loop& loop, handler handle_request)
    : event_loop(loop), on_request(std::move(handle_request))
{
    this->listen();
}

auto raw_server::listen() -> void
{
    this->unblock();
    this->open_listener = new listener();
    this->open_listener->server = this;
    uv_tcp_init(this->event_loop.native(), &this->open_listener->handle);
    this->open_listener->handle.data = this->open_listener;
    const auto loopback = event::to_socket_address(this->address()).value();
    uv_tcp_bind(&this->open_listener->handle, event::as_sockaddr(loopback), 0);
    uv_listen(this->open_listener->stream(), accept_backlog,
              [](uv_stream_t* stream, int status) {
                  auto* self = static_cast<listener*>(stream->data);
                  if (status == 0) {
                      self->accept();
                  }
              });
    auto bound = sockaddr_in();
    auto size = int(sizeof(bound));
    uv_tcp_getsockname(&this->open_listener->handle,
                       reinterpret_cast<sockaddr*>(&bound), &size);
    this->port = ntohs(bound.sin_port);
}

raw_server::~raw_server()
{
    this->close();
}

auto raw_server::address() const -> core::endpoint
{
    return {"127.0.0.1", this->port};
}

auto raw_server::on_accept(std::shared_ptr<event::tcp_stream> stream,
                           int descriptor) -> void
{
    const auto connection = std::make_shared<raw_connection>(
        std::move(stream), descriptor, this->on_request);
    this->connections.insert(connection);
    connection->start(
        [this, weak = std::weak_ptr<raw_connection>(connection)]() {
            this->connections.erase(weak.lock());
        });
}

auto raw_server::block() -> void
{
    this->close();
    const auto loopback = event::to_socket_address(this->address()).value();
    const auto open_socket = [this]() {
        this->blocked.push_back(
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        return this->blocked.back();
    };
    const auto listening = open_socket();
    const auto reuse = 1;
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    const auto* address = event::as_sockaddr(loopback);
    const auto is_listening =
        bind(listening, address, sizeof(sockaddr_in)) == 0 &&
        ::listen(listening, 0) == 0;
    // The kernel drops further connection requests once one waits.
    if (!is_listening ||
        (connect(open_socket(), address, sizeof(sockaddr_in)) != 0 &&
         errno != EINPROGRESS)) {
        throw std::system_error(errno, std::generic_category(), "block");
    }
}

auto raw_server::stand_still() -> void
{
    this->is_still = true;
    if (this->open_listener != nullptr) {
        this->open_listener->set_backlog(0);
    }
}

auto raw_server::go_on() -> void
{
    this->is_still = false;
    if (this->open_listener == nullptr) {
        return;
    }
    this->open_listener->set_backlog(accept_backlog);
    if (this->open_listener->has_waiting) {
        this->open_listener->accept();
    }
}

auto raw_server::unblock() -> void
{
    for (const auto descriptor : std::exchange(this->blocked, {})) {
        ::close(descriptor);
    }
}

auto raw_server::close() -> void
{
    this->unblock();
    this->is_still = false;
    if (auto* const closing = std::exchange(this->open_listener, nullptr)) {
        uv_close(reinterpret_cast<uv_handle_t*>(&closing->handle),
                 [](uv_handle_t* handle) {
                     delete static_cast<listener*>(handle->data);
                 });
    }
    const auto open = this->connections;
    for (const auto& connection : open) {
        connection->close();
    }
}

} // namespace almondtiller::gateway_world
