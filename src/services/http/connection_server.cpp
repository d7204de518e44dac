#include "services/http/connection_server.h"

#include "api/api_errc.h"
#include "api/problem.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto listen_backlog = 1024;
constexpr auto unread_bytes = std::size_t(4096);
constexpr auto rejected_retry_after = core::milliseconds(1000);

thread_local auto served_connection = socket_t(-1);
thread_local auto rejects = false;

/// Answers without reading the request.
auto reject(socket_t socket) -> void
{
    auto described = api::problem();
    described.code = api::api_errc::overloaded;
    described.retry_after = rejected_retry_after;
    const auto body = api::to_json(described);
    const auto answer =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
        "Retry-After: 1\r\nContent-Type: " +
        std::string(api::problem_media_type) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    ::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    // Closing with bytes unread would reset the connection and could take
    // the answer with it.
    ::shutdown(socket, SHUT_WR);
    auto unread = std::array<char, unread_bytes>();
    ::recv(socket, unread.data(), unread.size(), MSG_DONTWAIT);
}

} // namespace

/// Hands connections to the server's pool.
class connection_server::task_queue : public httplib::TaskQueue
{
public:
    explicit task_queue(connection_server& server) : server(server)
    {}

    auto enqueue(std::function<void()> job) -> void override
    {
        this->server.accept_job(std::move(job));
    }
    auto shutdown() -> void override
    {
        this->server.pool.shutdown();
    }

private:
    connection_server& server;
};

connection_server::connection_server(const core::runtime_clock& clock,
                                     connection_limits limits,
                                     event_handler on_event)
    : clock(clock),
      limits(limits),
      on_event(std::move(on_event)),
      held_bytes(limits.max_request_bytes, limits.max_body_bytes),
      pool(limits.max_connections),
      wake_descriptor(::eventfd(0, EFD_CLOEXEC))
{
    this->new_task_queue = [this] {
        return new task_queue(*this);
    };
    this->set_tcp_nodelay(true);
    this->set_socket_options([](socket_t socket) {
        const auto on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

connection_server::~connection_server()
{
    ::close(this->wake_descriptor);
}

auto connection_server::bind(const std::string& address, int port) -> int
{
    auto bound = 0;
    if (port == 0) {
        bound = this->bind_to_any_port(address);
    } else if (this->bind_to_port(address, port)) {
        bound = port;
    }
    if (bound <= 0) {
        return 0;
    }
    this->listener = this->svr_sock_;
    ::listen(this->listener, listen_backlog);
    return bound;
}

auto connection_server::drain() -> void
{
    this->draining = true;
    const auto one = std::uint64_t(1);
    static_cast<void>(::write(this->wake_descriptor, &one, sizeof(one)));
    ::shutdown(this->listener, SHUT_RDWR);
}

auto connection_server::current_connection() -> socket_t
{
    return served_connection;
}

auto connection_server::accept_job(std::function<void()> job) -> void
{
    this->on_event(connection_event::accepted);
    if (this->pool.submit(job)) {
        return;
    }
    if (this->evict_idle()) {
        this->pool.submit_waiting(std::move(job));
        return;
    }
    rejects = true;
    job();
    rejects = false;
}

auto connection_server::process_and_close_socket(socket_t socket) -> bool
{
    if (rejects) {
        this->on_event(connection_event::rejected);
        reject(socket);
    } else {
        served_connection = socket;
        this->serve(socket);
        served_connection = -1;
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

auto connection_server::serve(socket_t socket) -> void
{
    auto stream = connection_stream(this->clock, socket, this->limits.write,
                                    this->held_bytes);
    while (this->await_request(stream)) {
        stream.begin_request(this->limits.request_read);
        const auto is_last = this->draining.load();
        auto closed = false;
        const auto served =
            this->process_request(stream, is_last, closed, nullptr);
        stream.end_request();
        if (stream.was_refused()) {
            this->on_event(connection_event::refused_body);
            reject(socket);
            return;
        }
        if (stream.was_too_slow()) {
            this->on_event(connection_event::too_slow);
            return;
        }
        if (!served) {
            this->on_event(connection_event::broken);
            return;
        }
        if (closed || is_last) {
            return;
        }
    }
}

auto connection_server::await_request(connection_stream& stream) -> bool
{
    auto position = std::list<socket_t>::iterator();
    {
        const auto guard = std::lock_guard(this->idle_mutex);
        position = this->idle.insert(this->idle.end(), stream.socket());
    }
    const auto arrived =
        stream.wait_for_bytes(this->limits.keep_alive, this->wake_descriptor);
    const auto guard = std::lock_guard(this->idle_mutex);
    if (*position == INVALID_SOCKET) {
        this->idle.erase(position);
        return false;
    }
    this->idle.erase(position);
    return arrived;
}

/// Closes the connection that has been idle for longest.
auto connection_server::evict_idle() -> bool
{
    const auto guard = std::lock_guard(this->idle_mutex);
    for (auto& socket : this->idle) {
        if (socket != INVALID_SOCKET && !is_closed_by_peer(socket)) {
            this->on_event(connection_event::evicted_idle);
            ::shutdown(socket, SHUT_RDWR);
            socket = INVALID_SOCKET;
            return true;
        }
    }
    return false;
}

} // namespace almondtiller::services
