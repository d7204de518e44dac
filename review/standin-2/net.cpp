#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <set>

namespace review {

namespace {

auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto bound_port(int descriptor) -> std::uint16_t
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof(address));
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](char letter) {
        return char(std::tolower(static_cast<unsigned char>(letter)));
    });
    return text;
}

/// \return The word at \a index of a line, counted from 0.
auto word(const std::string& line, int index) -> std::string
{
    auto from = std::size_t(0);
    for (; index > 0; --index) {
        const auto space = line.find(' ', from);
        if (space == std::string::npos) {
            return {};
        }
        from = space + 1;
    }
    return line.substr(from, line.find(' ', from) - from);
}

} // namespace

auto message::header(std::string_view name) const -> std::string
{
    const auto wanted = lower(std::string(name));
    for (const auto& [key, value] : this->headers) {
        if (lower(key) == wanted) {
            return value;
        }
    }
    return {};
}

auto message::method() const -> std::string
{
    return word(this->start, 0);
}

auto message::target() const -> std::string
{
    return word(this->start, 1);
}

auto message::status() const -> int
{
    return std::atoi(word(this->start, 1).c_str());
}

connection::connection(int socket) : descriptor(socket)
{
    const auto on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    ::close(this->descriptor);
}

auto connection::open(std::uint16_t port) -> std::unique_ptr<connection>
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

auto connection::write(std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto sent =
            send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(std::size_t(sent));
    }
    return true;
}

auto connection::fill() -> bool
{
    auto bytes = std::array<char, 16384>();
    const auto size = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    this->bytes_read.append(bytes.data(), std::size_t(size));
    return true;
}

auto connection::buffer() -> std::string&
{
    return this->bytes_read;
}

auto connection::read_head() -> std::optional<message>
{
    auto end = std::string::npos;
    while ((end = this->bytes_read.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill()) {
            return std::nullopt;
        }
    }
    auto head = this->bytes_read.substr(0, end + 2);
    this->bytes_read.erase(0, end + 4);
    auto parsed = message();
    auto from = head.find("\r\n");
    parsed.start = head.substr(0, from);
    from += 2;
    while (from < head.size()) {
        const auto stop = head.find("\r\n", from);
        const auto line = head.substr(from, stop - from);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            parsed.headers.emplace_back(
                line.substr(0, colon),
                value == std::string::npos ? "" : line.substr(value));
        }
        from = stop + 2;
    }
    return parsed;
}

auto connection::read_chunks(
    const std::function<void(std::string_view)>& on_piece) -> bool
{
    while (true) {
        auto end = std::string::npos;
        while ((end = this->bytes_read.find("\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return false;
            }
        }
        const auto size =
            std::strtoul(this->bytes_read.substr(0, end).c_str(), nullptr, 16);
        while (this->bytes_read.size() < end + 2 + size + 2) {
            if (!this->fill()) {
                return false;
            }
        }
        if (size > 0) {
            on_piece(std::string_view(this->bytes_read).substr(end + 2, size));
        }
        this->bytes_read.erase(0, end + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

auto connection::read_body(const message& head, std::string& body) -> bool
{
    if (lower(head.header("transfer-encoding")) == "chunked") {
        return this->read_chunks(
            [&body](std::string_view piece) { body += piece; });
    }
    const auto size =
        std::strtoul(head.header("content-length").c_str(), nullptr, 10);
    while (this->bytes_read.size() < size) {
        if (!this->fill()) {
            return false;
        }
    }
    body += this->bytes_read.substr(0, size);
    this->bytes_read.erase(0, size);
    return true;
}

auto connection::read_message() -> std::optional<message>
{
    auto head = this->read_head();
    if (!head || !this->read_body(*head, head->body)) {
        return std::nullopt;
    }
    return head;
}

auto connection::set_timeout(milliseconds limit) -> void
{
    auto time = timeval();
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

auto connection::set_receive_buffer(int bytes) -> void
{
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

auto connection::shut() -> void
{
    shutdown(this->descriptor, SHUT_RDWR);
}

auto connection::reset() -> void
{
    const auto option = linger{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
    shutdown(this->descriptor, SHUT_RD);
}

auto connection::is_closed_by_peer() const -> bool
{
    auto poller = pollfd{this->descriptor, POLLIN, 0};
    if (poll(&poller, 1, 0) <= 0) {
        return false;
    }
    auto byte = char(0);
    const auto size = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN);
}

struct server::shared_state
{
    handler on_connection;
    std::mutex mutex;
    std::set<connection*> open;
    bool is_stopped = false;
    int listener = -1;
};

server::server(handler on_connection) : data(std::make_shared<shared_state>())
{
    this->data->on_connection = std::move(on_connection);
    const auto listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    this->data->listener = listener;
    const auto on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(0);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener, 512) != 0) {
        std::abort();
    }
    this->own_port = bound_port(listener);
    this->acceptor = std::thread([state = this->data]() {
        while (true) {
            const auto accepted =
                accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread([state, accepted]() {
                auto one = connection(accepted);
                {
                    const auto lock = std::lock_guard(state->mutex);
                    if (state->is_stopped) {
                        return;
                    }
                    state->open.insert(&one);
                }
                state->on_connection(one);
                const auto lock = std::lock_guard(state->mutex);
                state->open.erase(&one);
            }).detach();
        }
    });
}

server::~server()
{
    this->stop();
}

auto server::port() const -> std::uint16_t
{
    return this->own_port;
}

auto server::stop() -> void
{
    {
        const auto lock = std::lock_guard(this->data->mutex);
        if (this->data->is_stopped) {
            return;
        }
        this->data->is_stopped = true;
        for (auto* one : this->data->open) {
            one->shut();
        }
    }
    shutdown(this->data->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->data->listener);
}

auto free_port() -> std::uint16_t
{
    // The socket stays bound without listening, so that the system does not
    // assign its port to another socket.
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(0);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
        std::abort();
    }
    return bound_port(descriptor);
}

auto answer_text(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    std::string_view body) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [key, value] : headers) {
        text.append(key).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

record::record(const std::string& path) : target(path, std::ios::trunc)
{}

auto record::line(const std::string& text) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->target << this->elapsed().count() << " ms: " << text << std::endl;
}

auto record::elapsed() const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(clock::now() -
                                                    this->started);
}

} // namespace review
