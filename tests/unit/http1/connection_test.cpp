#include "event/event.h"
#include "http1/http1.h"

#include <gtest/gtest.h>

#include <optional>

namespace almondtiller::http1 {
namespace {

/// A server and a pool of client connections on one loop.
class connection_test : public testing::Test
{
protected:
    connection_test()
    {
        auto shared_options = std::make_shared<server_options>();
        shared_options->on_request = [this](auto request, auto exchange) {
            this->requests.push_back(std::move(request));
            this->answer(exchange);
        };
        shared_options->limits = []() {
            return parser_limits();
        };
        shared_options->header_timeout = []() {
            return core::milliseconds(200);
        };
        shared_options->idle_timeout = []() {
            return core::milliseconds(5000);
        };
        shared_options->is_draining = [this]() {
            return this->is_draining;
        };
        shared_options->on_closed = [this](const auto& connection) {
            std::erase(this->connections, connection);
        };
        this->options = std::move(shared_options);
        this->listener.listen({"127.0.0.1", 0});
    }

    auto run_until(const std::function<bool()>& ready) -> void
    {
        const auto end = this->clock.now() + std::chrono::seconds(5);
        while (!ready() && this->clock.now() < end) {
            this->event_loop.run_once();
        }
        ASSERT_TRUE(ready());
    }

    auto call() -> void
    {
        this->outcome.reset();
        this->body.clear();
        auto hooks = pool_hooks();
        hooks.on_head = [this](auto head) {
            this->head = std::move(head);
        };
        hooks.on_body = [this](auto bytes) {
            this->body += bytes;
        };
        hooks.on_done = [this](auto error, bool) {
            this->outcome = error;
        };
        this->active = this->pool.call(
            {"server", {"127.0.0.1", std::uint16_t(this->listener.port())}},
            "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", {}, std::move(hooks));
    }

    auto call_and_wait() -> void
    {
        this->call();
        this->run_until([this]() { return this->outcome.has_value(); });
    }

    core::runtime_clock clock;
    event::loop event_loop{clock};
    std::shared_ptr<const server_options> options;
    std::vector<std::shared_ptr<server_connection>> connections;
    std::vector<request_message> requests;
    std::function<void(std::shared_ptr<exchange>)> answer = [](auto exchange) {
        exchange->respond(200, {}, "answer");
    };
    bool is_draining = false;
    event::tcp_listener listener{
        event_loop, [this](auto stream) {
            this->connections.push_back(std::make_shared<server_connection>(
                this->event_loop, std::move(stream), this->options));
            this->connections.back()->start();
        }};
    client_pool pool{event_loop};
    std::shared_ptr<pooled_call> active;
    std::shared_ptr<event::tcp_stream> raw_stream;
    std::optional<std::error_code> outcome;
    std::optional<response_head> head;
    std::string body;
};

TEST_F(connection_test, reuses_a_connection)
{
    this->call_and_wait();
    this->call_and_wait();
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->body, "answer");
    EXPECT_EQ(this->pool.opened(), 1U);
}

TEST_F(connection_test, closes_each_connection_while_draining)
{
    this->is_draining = true;
    this->call_and_wait();
    EXPECT_FALSE(*this->outcome);
    EXPECT_FALSE(this->head->keep_alive);
    this->call_and_wait();
    EXPECT_EQ(this->pool.opened(), 2U);
}

TEST_F(connection_test, reports_an_aborted_response)
{
    this->answer = [](auto exchange) {
        exchange->start(200, {}, std::nullopt);
        exchange->send("part");
        exchange->abort();
    };
    this->call_and_wait();
    EXPECT_TRUE(*this->outcome);
}

TEST_F(connection_test, reports_a_closed_client_connection)
{
    auto is_disconnected = false;
    auto kept = std::shared_ptr<exchange>();
    this->answer = [&is_disconnected, &kept](auto exchange) {
        kept = exchange;
        exchange->on_gone([&is_disconnected]() { is_disconnected = true; });
    };
    this->call();
    this->run_until([&kept]() { return kept != nullptr; });
    this->active->cancel();
    this->run_until([&is_disconnected]() { return is_disconnected; });
    EXPECT_TRUE(kept->is_finished());
}

TEST_F(connection_test, rejects_an_incomplete_request_after_the_timeout)
{
    auto received = std::string();
    auto connection = std::shared_ptr<event::tcp_stream>();
    event::tcp_stream::connect(
        this->event_loop, {"127.0.0.1", std::uint16_t(this->listener.port())},
        core::milliseconds(1000), [&](auto stream, auto) {
            connection = std::move(stream);
            connection->start([&](auto bytes) { received += bytes; },
                              [](auto) {});
            connection->write("GET /x HT");
        });
    this->run_until([&received]() { return !received.empty(); });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 408"));
    EXPECT_TRUE(this->requests.empty());
}

// A late second response must not be matched to the next request.
TEST_F(connection_test, drops_connections_with_bytes_that_belong_to_no_call)
{
    auto raw = event::tcp_listener(this->event_loop, [this](auto stream) {
        this->raw_stream = stream;
        const auto kept = std::weak_ptr<event::tcp_stream>(stream);
        stream->start(
            [kept](auto) {
                kept.lock()->write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
            },
            [](auto) {});
    });
    raw.listen({"127.0.0.1", 0});
    const auto target =
        call_target{"raw", {"127.0.0.1", std::uint16_t(raw.port())}};
    for (auto turn = 0; turn < 2; ++turn) {
        auto text = std::string();
        auto done = false;
        auto hooks = pool_hooks();
        hooks.on_body = [&text](auto bytes) {
            text += bytes;
        };
        hooks.on_done = [&done](auto, bool) {
            done = true;
        };
        this->pool.call(target, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", {},
                        std::move(hooks));
        this->run_until([&done]() { return done; });
        EXPECT_EQ(text, "1");
    }
    EXPECT_EQ(this->pool.opened(), 2U);
}

} // namespace
} // namespace almondtiller::http1
