#include "services/peers/peer_transport.h"

#include "fleet/fleet_errc.h"

#include <gtest/gtest.h>

#include <future>

namespace almondtiller::services {
namespace {

using fleet::fleet_errc;
using h2::h2_hooks;
using h2::h2_role;
using h2::h2_session;
using h2::max_peer_body_bytes;

constexpr auto timeout = core::milliseconds(5000);

class peer_transport_test : public testing::Test
{
protected:
    peer_transport_test()
    {
        const auto port = this->server.bind("127.0.0.1", 0);
        this->address = "127.0.0.1:" + std::to_string(port.value());
        this->server.accept();
    }

    auto call(const std::string& topic, const std::string& body,
              core::milliseconds call_timeout = timeout)
        -> core::result<std::string>
    {
        auto promise = std::promise<core::result<std::string>>();
        auto answer = promise.get_future();
        this->client.call(
            this->address, topic, body, call_timeout,
            [&promise](auto result) { promise.set_value(std::move(result)); });
        return answer.get();
    }

    static auto serve(const h2_request& request,
                      const peer_transport::reply_handler& reply) -> void
    {
        if (request.topic == "echo") {
            reply(request.sender + ":" + request.body);
        } else if (request.topic == "never") {
            return;
        } else {
            reply(make_error_code(fleet_errc::unknown_topic));
        }
    }

    core::runtime_clock clock;
    peer_transport server{clock, "server", serve};
    peer_transport client{clock, "client", serve};
    std::string address;
};

TEST_F(peer_transport_test, answers_calls_one_after_another)
{
    EXPECT_EQ(this->call("echo", "hello").value(), "client:hello");
    EXPECT_EQ(this->call("echo", "").value(), "client:");
    EXPECT_GT(this->client.traffic().sent_bytes, 0U);
}

TEST_F(peer_transport_test, carries_bodies_larger_than_the_window)
{
    const auto body = std::string(max_peer_body_bytes - 64, 'x');
    EXPECT_EQ(this->call("echo", body).value(), "client:" + body);
    EXPECT_EQ(this->call("echo", body + body).error(),
              fleet_errc::message_too_large);
}

TEST_F(peer_transport_test, error_codes_reach_the_caller)
{
    EXPECT_EQ(this->call("nothing", "").error(), fleet_errc::unknown_topic);
}

TEST_F(peer_transport_test, silent_peer_times_out_without_affecting_other_calls)
{
    EXPECT_EQ(this->call("never", "", core::milliseconds(60)).error(),
              fleet_errc::peer_timeout);
    EXPECT_EQ(this->call("echo", "on").value(), "client:on");
}

TEST_F(peer_transport_test, stopped_peer_is_unreachable_at_once)
{
    EXPECT_TRUE(this->call("echo", "").has_value());
    this->server.stop();
    const auto answer = this->call("echo", "");
    EXPECT_FALSE(answer.has_value());
}

TEST_F(peer_transport_test, stop_fails_pending_calls)
{
    auto promise = std::promise<core::result<std::string>>();
    this->client.call(
        this->address, "never", "", timeout,
        [&promise](auto result) { promise.set_value(std::move(result)); });
    this->client.stop();
    EXPECT_FALSE(promise.get_future().get().has_value());
}

/// Bytes that are not HTTP/2 end the session with an error; nothing else fails.
TEST(h2_session_test, garbage_is_rejected)
{
    auto hooks = h2_hooks();
    hooks.on_request = [](auto, auto) {
    };
    auto session = h2_session(h2_role::server, hooks);
    EXPECT_EQ(session.receive("GET / HTTP/1.1\r\n\r\n"),
              fleet_errc::malformed_message);
}

} // namespace
} // namespace almondtiller::services
