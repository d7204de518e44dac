#include <gtest/gtest.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

namespace almondtiller {

namespace {

/// Answers the first request of its first connection and closes that
/// connection when the second request has arrived.
class closing_server
{
public:
    closing_server() : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = sockaddr_in();
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto size = socklen_t(sizeof(address));
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(this->listener, generic, size), 0);
        EXPECT_EQ(::listen(this->listener, 8), 0);
        EXPECT_EQ(::getsockname(this->listener, generic, &size), 0);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->serve(); });
    }

    ~closing_server()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        this->thread.join();
    }

    int port = 0;
    std::atomic<int> requests = 0;

private:
    auto read_request(int connection) -> bool
    {
        auto text = std::string();
        auto piece = std::array<char, 1024>();
        while (text.find("\r\n\r\nbody") == std::string::npos) {
            const auto size = ::recv(connection, piece.data(), piece.size(), 0);
            if (size <= 0) {
                return false;
            }
            text.append(piece.data(), std::size_t(size));
        }
        ++this->requests;
        return true;
    }

    auto serve() -> void
    {
        auto connection = ::accept(this->listener, nullptr, nullptr);
        while (connection >= 0) {
            if (this->read_request(connection) && this->requests == 1) {
                const auto answer =
                    std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                "ok");
                ::send(connection, answer.data(), answer.size(), 0);
                this->read_request(connection);
            }
            ::close(connection);
            connection = ::accept(this->listener, nullptr, nullptr);
        }
    }

    int listener;
    std::thread thread;
};

} // namespace

/// A request that may run at most once depends on this behaviour of the
/// library's client.
TEST(http_client, does_not_send_again_when_a_kept_alive_connection_closes)
{
    auto server = closing_server();
    auto client = httplib::Client("127.0.0.1", server.port);
    client.set_keep_alive(true);
    EXPECT_TRUE(client.Post("/", "body", "text/plain"));
    EXPECT_FALSE(client.Post("/", "body", "text/plain"));
    EXPECT_EQ(server.requests, 2);
}

} // namespace almondtiller
