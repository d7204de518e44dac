#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

namespace review {

namespace {

const auto start_time = clock::now();

auto equal_names(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char one, unsigned char other) {
                          return std::tolower(one) == std::tolower(other);
                      });
}

auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

auto port_of(int descriptor) -> std::uint16_t
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof(address));
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

auto elapsed_ms() -> std::int64_t
{
    return std::chrono::duration_cast<ms>(clock::now() - start_time).count();
}

auto sleep_for(ms time) -> void
{
    std::this_thread::sleep_for(time);
}

auto message::find(std::string_view name) const -> std::string
{
    for (const auto& [key, value] : this->headers) {
        if (equal_names(key, name)) {
            return value;
        }
    }
    return {};
}

auto message::has(std::string_view name) const -> bool
{
    return std::any_of(
        this->headers.begin(), this->headers.end(),
        [name](const auto& item) { return equal_names(item.first, name); });
}

auto message::method() const -> std::string
{
    return this->start.substr(0, this->start.find(' '));
}

auto message::target() const -> std::string
{
    const auto first = this->start.find(' ');
    if (first == std::string::npos) {
        return {};
    }
    return this->start.substr(first + 1,
                              this->start.find(' ', first + 1) - first - 1);
}

auto message::status() const -> int
{
    const auto is_answer = this->start.starts_with("HTTP/1.1 ");
    return is_answer ? std::atoi(this->start.c_str() + 9) : 0;
}

connection::connection(int open_descriptor) : descriptor(open_descriptor)
{
    const auto on = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    close(this->descriptor);
}

auto connection::open(std::uint16_t port, ms limit, int buffer_bytes)
    -> std::unique_ptr<connection>
{
    const auto descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (buffer_bytes > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                   sizeof(buffer_bytes));
    }
    const auto address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
        auto waiting = pollfd{descriptor, POLLOUT, 0};
        auto error = errno == EINPROGRESS ? 0 : errno;
        auto size = socklen_t(sizeof(error));
        if (error == 0 && poll(&waiting, 1, int(limit.count())) == 1) {
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        } else if (error == 0) {
            error = ETIMEDOUT;
        }
        if (error != 0) {
            close(descriptor);
            return nullptr;
        }
    }
    auto made = std::make_unique<connection>(descriptor);
    made->set_read_limit(ms(10000));
    return made;
}

auto connection::set_read_limit(ms limit) -> void
{
    auto time = timeval();
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

auto connection::send(std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto sent =
            ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EAGAIN) {
            auto waiting = pollfd{this->descriptor, POLLOUT, 0};
            poll(&waiting, 1, 1000);
            continue;
        }
        if (sent <= 0) {
            this->has_ended = true;
            return false;
        }
        bytes.remove_prefix(std::size_t(sent));
    }
    return true;
}

auto connection::read_more() -> bool
{
    char bytes[16384];
    auto waiting = pollfd{this->descriptor, POLLIN, 0};
    auto time = timeval();
    auto size = socklen_t(sizeof(time));
    getsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, &size);
    const auto limit = time.tv_sec * 1000 + time.tv_usec / 1000;
    if (poll(&waiting, 1, limit == 0 ? -1 : int(limit)) != 1) {
        return false;
    }
    const auto received = recv(this->descriptor, bytes, sizeof(bytes), 0);
    if (received <= 0) {
        this->has_ended = true;
        return false;
    }
    this->buffer.append(bytes, std::size_t(received));
    return true;
}

auto connection::rest() const -> const std::string&
{
    return this->buffer;
}

auto connection::is_ended() const -> bool
{
    return this->has_ended;
}

auto connection::shut() -> void
{
    shutdown(this->descriptor, SHUT_RDWR);
}

auto connection::reset_on_close() -> void
{
    const auto option = linger{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
}

auto connection::take_line() -> std::optional<std::string>
{
    auto end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->read_more()) {
            return std::nullopt;
        }
        end = this->buffer.find("\r\n");
    }
    auto line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return line;
}

auto connection::take(std::size_t size) -> std::optional<std::string>
{
    while (this->buffer.size() < size) {
        if (!this->read_more()) {
            return std::nullopt;
        }
    }
    auto bytes = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return bytes;
}

auto connection::read_head(message& into) -> bool
{
    while (true) {
        // The bytes stay in the buffer until the head is complete.
        const auto end = this->buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            break;
        }
        if (!this->read_more()) {
            return false;
        }
    }
    into.start = *this->take_line();
    while (true) {
        const auto line = *this->take_line();
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        into.headers.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
    }
}

auto connection::read_chunks(message& into) -> bool
{
    while (true) {
        const auto line = this->take_line();
        if (!line) {
            return false;
        }
        const auto size = std::strtoul(line->c_str(), nullptr, 16);
        if (size == 0) {
            const auto end = this->take_line();
            return end && end->empty();
        }
        const auto bytes = this->take(size + 2);
        if (!bytes) {
            return false;
        }
        into.body += bytes->substr(0, size);
    }
}

auto connection::read_request() -> std::optional<message>
{
    auto request = message();
    if (!this->read_head(request)) {
        return std::nullopt;
    }
    if (request.has("transfer-encoding")) {
        return this->read_chunks(request) ? std::optional(request)
                                          : std::nullopt;
    }
    const auto body = this->take(
        std::strtoul(request.find("content-length").c_str(), nullptr, 10));
    if (!body) {
        return std::nullopt;
    }
    request.body = *body;
    return request;
}

auto connection::read_answer(bool has_body) -> std::optional<message>
{
    auto answer = message();
    // What can't be the start of an answer shows before a whole head is there.
    constexpr auto mark = std::string_view("HTTP/1.1 ");
    while (this->buffer.size() < mark.size()) {
        if (!this->read_more()) {
            return std::nullopt;
        }
    }
    if (!this->buffer.starts_with(mark) || !this->read_head(answer)) {
        return std::nullopt;
    }
    if (!has_body || answer.status() == 204 || answer.status() == 304) {
        return answer;
    }
    if (answer.has("transfer-encoding")) {
        return this->read_chunks(answer) ? std::optional(answer) : std::nullopt;
    }
    const auto body = this->take(
        std::strtoul(answer.find("content-length").c_str(), nullptr, 10));
    if (!body) {
        return std::nullopt;
    }
    answer.body = *body;
    return answer;
}

server::server(handler on_connection) : handle(std::move(on_connection))
{
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(0);
    static_cast<void>(bind(this->listener,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)));
    listen(this->listener, 256);
    this->bound_port = port_of(this->listener);
    this->acceptor = std::thread([this]() { this->accept_loop(); });
}

server::~server()
{
    this->stop();
}

auto server::port() const -> std::uint16_t
{
    return this->bound_port;
}

auto server::accept_loop() -> void
{
    while (true) {
        const auto accepted =
            accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        const auto lock = std::lock_guard(this->guard);
        if (this->is_stopped) {
            close(accepted);
            return;
        }
        this->threads.emplace_back([this, accepted]() {
            auto open = connection(accepted);
            {
                const auto inner = std::lock_guard(this->guard);
                if (this->is_stopped) {
                    return;
                }
                this->open_connections.insert(&open);
            }
            this->handle(open);
            const auto inner = std::lock_guard(this->guard);
            this->open_connections.erase(&open);
        });
    }
}

auto server::stop() -> void
{
    {
        const auto lock = std::lock_guard(this->guard);
        if (std::exchange(this->is_stopped, true)) {
            return;
        }
        shutdown(this->listener, SHUT_RDWR);
        for (auto* open : this->open_connections) {
            open->shut();
        }
    }
    this->acceptor.join();
    close(this->listener);
    for (auto& thread : this->threads) {
        thread.join();
    }
}

auto reserve_port() -> std::uint16_t
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(0);
    static_cast<void>(bind(descriptor,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)));
    return port_of(descriptor);
}

auto encode(const std::string& start, const header_list& headers,
            std::string_view body) -> std::string
{
    auto text = start + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    text += "\r\n";
    text += body;
    return text;
}

auto encode_answer(int status, const header_list& headers,
                   std::string_view body) -> std::string
{
    auto all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    return encode("HTTP/1.1 " + std::to_string(status) + " Status", all, body);
}

} // namespace review
