#include "services/http/connection_stream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace almondtiller::services {

namespace {

using std::chrono::milliseconds;

/// Bytes of a request that are not counted, so that small requests are served
/// while others hold too much.
constexpr auto uncounted_bytes = std::size_t(1) << 16U;

auto poll_one(int descriptor, short events, milliseconds time) -> int
{
    auto waited = pollfd{descriptor, events, 0};
    while (true) {
        const auto ready = ::poll(&waited, 1, int(time.count()));
        if (ready >= 0 || errno != EINTR) {
            return ready;
        }
    }
}

auto describe(const sockaddr_in& address, std::string& ip, int& port) -> void
{
    auto text = std::array<char, INET_ADDRSTRLEN>();
    if (inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) !=
        nullptr) {
        ip = text.data();
        port = ntohs(address.sin_port);
    }
}

} // namespace

request_bytes::request_bytes(std::size_t max_held_bytes,
                             std::size_t max_bytes_of_request)
    : max_bytes(max_held_bytes), max_request_bytes(max_bytes_of_request)
{}

auto request_bytes::max_bytes_of_one() const -> std::size_t
{
    return this->max_request_bytes;
}

auto request_bytes::add(std::size_t bytes) -> bool
{
    if (this->held.fetch_add(bytes) + bytes <= this->max_bytes) {
        return true;
    }
    this->held -= bytes;
    return false;
}

auto request_bytes::remove(std::size_t bytes) -> void
{
    this->held -= bytes;
}

connection_stream::connection_stream(const core::runtime_clock& clock,
                                     socket_t socket,
                                     milliseconds write_timeout,
                                     request_bytes& held)
    : clock(clock),
      descriptor(socket),
      write_timeout(write_timeout),
      all_held(held),
      buffer()
{}

connection_stream::~connection_stream()
{
    this->end_request();
}

auto connection_stream::wait_for_bytes(milliseconds time, int wake_descriptor)
    -> bool
{
    if (this->consumed < this->buffered) {
        return true;
    }
    auto waited = std::array{pollfd{this->descriptor, POLLIN, 0},
                             pollfd{wake_descriptor, POLLIN, 0}};
    const auto ready = ::poll(waited.data(), waited.size(), int(time.count()));
    if (ready <= 0 || (waited[0].revents & POLLIN) == 0) {
        return false;
    }
    auto first = char();
    return ::recv(this->descriptor, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

auto connection_stream::begin_request(milliseconds time) -> void
{
    this->too_slow = false;
    this->read_deadline = this->clock.now() + time;
}

auto connection_stream::end_request() -> void
{
    this->all_held.remove(this->accounted);
    this->accounted = 0;
    this->received = 0;
}

auto connection_stream::was_refused() const -> bool
{
    return this->refused;
}

auto connection_stream::account(std::size_t bytes) -> bool
{
    this->received += bytes;
    if (this->received <= uncounted_bytes ||
        this->accounted + bytes > this->all_held.max_bytes_of_one()) {
        // The library reads and discards what is beyond its limit of a body.
        return true;
    }
    if (!this->all_held.add(bytes)) {
        this->refused = true;
        return false;
    }
    this->accounted += bytes;
    return true;
}

auto connection_stream::was_too_slow() const -> bool
{
    return this->too_slow;
}

auto connection_stream::is_readable() const -> bool
{
    return this->consumed < this->buffered ||
           poll_one(this->descriptor, POLLIN, milliseconds(0)) > 0;
}

auto connection_stream::is_writable() const -> bool
{
    return !is_closed_by_peer(this->descriptor);
}

auto connection_stream::read(char* target, std::size_t size) -> ssize_t
{
    if (this->consumed == this->buffered) {
        if (size >= this->buffer.size()) {
            return this->receive(target, size);
        }
        const auto got =
            this->receive(this->buffer.data(), this->buffer.size());
        if (got <= 0) {
            return got;
        }
        this->buffered = std::size_t(got);
        this->consumed = 0;
    }
    const auto taken = std::min(size, this->buffered - this->consumed);
    std::memcpy(target, this->buffer.data() + this->consumed, taken);
    this->consumed += taken;
    return ssize_t(taken);
}

auto connection_stream::receive(char* target, std::size_t size) -> ssize_t
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        this->read_deadline - this->clock.now());
    if (left.count() <= 0 || poll_one(this->descriptor, POLLIN, left) <= 0) {
        this->too_slow = true;
        return -1;
    }
    const auto got = ::recv(this->descriptor, target, size, 0);
    return got <= 0 || this->account(std::size_t(got)) ? got : -1;
}

auto connection_stream::write(const char* source, std::size_t size) -> ssize_t
{
    if (this->refused) {
        // The server sends the refusal in place of the library's response.
        return ssize_t(size);
    }
    if (poll_one(this->descriptor, POLLOUT, this->write_timeout) <= 0) {
        return -1;
    }
    return ::send(this->descriptor, source, size, MSG_NOSIGNAL);
}

auto connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const
    -> void
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof(address));
    if (::getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                      &size) == 0) {
        describe(address, ip, port);
    }
}

auto connection_stream::get_local_ip_and_port(std::string& ip, int& port) const
    -> void
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof(address));
    if (::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                      &size) == 0) {
        describe(address, ip, port);
    }
}

auto connection_stream::socket() const -> socket_t
{
    return this->descriptor;
}

auto is_closed_by_peer(socket_t socket) -> bool
{
    auto waited = pollfd{socket, POLLRDHUP, 0};
    return ::poll(&waited, 1, 0) > 0 &&
           (waited.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace almondtiller::services
