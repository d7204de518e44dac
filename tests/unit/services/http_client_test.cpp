#include <gtest/gtest.h>

#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <thread>

namespace almondtiller::services {

namespace {

/// Answers the first request of its first connection, and closes that
/// connection at the second request without an answer.
class closing_server
{
public:
    closing_server()
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = sockaddr_in();
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto size = socklen_t(sizeof(address));
        static_cast<void>(::bind(this->listener,
                                 reinterpret_cast<sockaddr*>(&address), size));
        ::listen(this->listener, 8);
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                      &size);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->serve(); });
    }

    ~closing_server()
    {
        this->thread.join();
        ::close(this->listener);
    }

    closing_server(const closing_server&) = delete;
    auto operator=(const closing_server&) -> closing_server& = delete;

    int port = 0;
    int requests = 0;

private:
    auto read_request(int connection) -> bool
    {
        auto text = std::string();
        auto buffer = std::array<char, 1024>();
        while (text.find("body") == std::string::npos) {
            const auto got =
                ::recv(connection, buffer.data(), buffer.size(), 0);
            if (got <= 0) {
                return false;
            }
            text.append(buffer.data(), std::size_t(got));
        }
        ++this->requests;
        return true;
    }

    auto serve() -> void
    {
        const auto connection = ::accept(this->listener, nullptr, nullptr);
        this->read_request(connection);
        const auto answer =
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        ::send(connection, answer.data(), answer.size(), 0);
        this->read_request(connection);
        ::close(connection);
        // A repeat would be waiting here on a connection of its own.
        auto wait = timeval{0, 200000};
        ::setsockopt(this->listener, SOL_SOCKET, SO_RCVTIMEO, &wait,
                     sizeof(wait));
        const auto second = ::accept(this->listener, nullptr, nullptr);
        if (second >= 0) {
            this->read_request(second);
            ::close(second);
        }
    }

    int listener = -1;
    std::thread thread;
};

} // namespace

/// At most one execution rests on this.
TEST(http_client, does_not_repeat_a_request_when_a_kept_connection_closes)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto requests = 0;
    {
        auto server = closing_server();
        auto client = httplib::Client("127.0.0.1", server.port);
        client.set_keep_alive(true);
        EXPECT_TRUE(client.Post("/", "body", "text/plain"));
        const auto second = client.Post("/", "body", "text/plain");
        EXPECT_FALSE(second);
        EXPECT_EQ(second.error(), httplib::Error::Read);
        client.stop();
        requests = server.requests;
    }
    EXPECT_EQ(requests, 2);
}

} // namespace almondtiller::services
