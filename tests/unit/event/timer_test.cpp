#include "event/event.h"
#include "event/socket_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace almondtiller::event {
namespace {

class timer_test : public testing::Test
{
protected:
    auto run_until(const std::function<bool()>& ready) -> void
    {
        const auto end = this->clock.now() + std::chrono::seconds(5);
        while (!ready() && this->clock.now() < end) {
            this->event_loop.run_once();
        }
        ASSERT_TRUE(ready());
    }

    /// Opens a connection.
    /// \return The peer's socket.
    auto open() -> int
    {
        const auto count = this->streams.size();
        const auto peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address =
            to_socket_address({"127.0.0.1", std::uint16_t(this->port)}).value();
        EXPECT_EQ(::connect(peer, as_sockaddr(address), sizeof(sockaddr_in)),
                  0);
        this->run_until(
            [this, count]() { return this->streams.size() > count; });
        return peer;
    }

    core::runtime_clock clock;
    loop event_loop{clock};
    std::vector<std::shared_ptr<tcp_stream>> streams;
    tcp_listener listener{this->event_loop, [this](auto stream) {
                              this->streams.push_back(std::move(stream));
                          }};
    const bool is_listening = !this->listener.listen({"127.0.0.1", 0});
    const int port = this->listener.port();
};

} // namespace

// Guards against a timeout that is reported although the bytes it waits for
// have arrived: they came while the loop was busy.
TEST_F(timer_test, bytes_that_came_before_the_time_are_read_first)
{
    const auto peers = std::array{this->open(), this->open()};
    auto order = std::string();
    auto late = timer(this->event_loop, [&order]() { order += "timeout "; });
    this->streams[1]->start([&order](auto) { order += "bytes "; }, [](auto) {});
    this->streams[0]->start(
        [&](auto) {
            static_cast<void>(::write(peers[1], "x", 1));
            // The loop is busy until the time is over.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        },
        [](auto) {});
    late.start(core::milliseconds(50));
    static_cast<void>(::write(peers[0], "x", 1));
    this->run_until([&order]() { return order.size() > 10; });
    EXPECT_EQ(order, "bytes timeout ");
    for (const auto peer : peers) {
        ::close(peer);
    }
}

TEST_F(timer_test, a_timer_that_is_stopped_while_it_is_late_does_not_act)
{
    auto count = 0;
    auto late = timer(this->event_loop, [&count]() { ++count; });
    const auto peer = this->open();
    this->streams[0]->start([&late](auto) { late.stop(); }, [](auto) {});
    late.start(core::milliseconds(10));
    static_cast<void>(::write(peer, "x", 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    auto is_over = false;
    auto end = timer(this->event_loop, [&is_over]() { is_over = true; });
    end.start(core::milliseconds(100));
    this->run_until([&is_over]() { return is_over; });
    EXPECT_EQ(count, 0);
    ::close(peer);
}

} // namespace almondtiller::event
