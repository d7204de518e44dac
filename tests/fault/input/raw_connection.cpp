#include "raw_connection.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace almondtiller::fault {

namespace {

constexpr auto read_timeout_seconds = 15;

} // namespace

raw_connection::raw_connection(const std::string& address)
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const auto colon = address.rfind(':');
    auto peer = sockaddr_in();
    peer.sin_family = AF_INET;
    peer.sin_port = htons(std::uint16_t(std::atoi(&address[colon + 1])));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const auto limit = timeval{read_timeout_seconds, 0};
    ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    // A failure shows in the first send.
    static_cast<void>(::connect(
        this->socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)));
}

raw_connection::~raw_connection()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket(std::exchange(other.socket, -1))
{}

auto raw_connection::send(const std::string& bytes) -> bool
{
    auto sent = std::size_t(0);
    while (sent < bytes.size()) {
        const auto size = ::send(this->socket, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += std::size_t(size);
    }
    return true;
}

auto raw_connection::shutdown_send() -> void
{
    ::shutdown(this->socket, SHUT_WR);
}

auto raw_connection::read_all() -> std::string
{
    auto text = std::string();
    auto piece = std::array<char, 4096>();
    auto size = ::recv(this->socket, piece.data(), piece.size(), 0);
    while (size > 0) {
        text.append(piece.data(), std::size_t(size));
        size = ::recv(this->socket, piece.data(), piece.size(), 0);
    }
    return text;
}

} // namespace almondtiller::fault
