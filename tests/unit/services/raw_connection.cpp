#include "raw_connection.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace almondtiller::services {

raw_connection::raw_connection(int port)
{
    this->descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(std::uint16_t(port));
    static_cast<void>(::connect(this->descriptor,
                                reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)));
}

raw_connection::~raw_connection()
{
    ::close(this->descriptor);
}

auto raw_connection::send(const std::string& text) -> void
{
    ::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

auto raw_connection::close_half() -> void
{
    ::shutdown(this->descriptor, SHUT_WR);
}

auto raw_connection::read_to(const std::string& end) -> std::string
{
    auto text = std::string();
    auto piece = std::array<char, 4096>();
    while (end.empty() || text.find(end) == std::string::npos) {
        const auto got =
            ::recv(this->descriptor, piece.data(), piece.size(), 0);
        if (got <= 0) {
            break;
        }
        text.append(piece.data(), std::size_t(got));
    }
    return text;
}

auto raw_connection::read_all() -> std::string
{
    return this->read_to("");
}

} // namespace almondtiller::services
