#include "event/event.h"
#include "http1/http1.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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
        shared_options->limits = [this]() {
            return this->limits;
        };
        shared_options->header_timeout = [this]() {
            return this->header_timeout;
        };
        shared_options->idle_timeout = [this]() {
            return this->idle_timeout;
        };
        shared_options->on_idle_timeout = [this](auto idle_for) {
            this->closed_after = idle_for;
        };
        shared_options->on_unread = [this]() {
            ++this->unread;
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

    auto call(std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        -> void
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
            std::move(request), {}, std::move(hooks));
    }

    auto
    call_and_wait(std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        -> void
    {
        this->call(std::move(request));
        this->run_until([this]() { return this->outcome.has_value(); });
    }

    /// Makes a call whose answer has an identity.
    auto call_and_identify(const answer_identity& identity,
                           const std::string& expected_value = {}) -> void
    {
        this->outcome.reset();
        auto hooks = pool_hooks();
        hooks.identify = [identity]() {
            return identity;
        };
        hooks.on_done = [this](auto error, bool) {
            this->outcome = error;
        };
        auto call_options = http1::call_options();
        call_options.expected_value = expected_value;
        this->active = this->pool.call(
            {"server", {"127.0.0.1", std::uint16_t(this->listener.port())}},
            "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", call_options,
            std::move(hooks));
        this->run_until([this]() { return this->outcome.has_value(); });
    }

    /// Sends bytes on a connection of their own.
    auto write_raw(std::string bytes) -> void
    {
        event::tcp_stream::connect(
            this->event_loop,
            {"127.0.0.1", std::uint16_t(this->listener.port())},
            core::milliseconds(1000), [this, bytes](auto stream, auto) {
                this->raw_stream = std::move(stream);
                this->raw_stream->start(
                    [this](auto received) { this->raw_answer += received; },
                    [](auto) {});
                this->raw_stream->write(bytes);
            });
    }

    core::runtime_clock clock;
    event::loop event_loop{clock};
    std::shared_ptr<const server_options> options;
    std::vector<std::shared_ptr<server_connection>> connections;
    std::vector<request_message> requests;
    std::function<void(std::shared_ptr<exchange>)> answer = [](auto exchange) {
        exchange->respond(200, {}, "answer");
    };
    std::function<bool(const connection_load&)> may_hold = [](const auto&) {
        return true;
    };
    /// Connections that were closed because their response was not read.
    int unread = 0;
    bool is_draining = false;
    parser_limits limits;
    core::milliseconds header_timeout{200};
    core::milliseconds idle_timeout{5000};
    /// How long the last connection that was closed as idle had been idle.
    std::optional<core::duration> closed_after;
    event::tcp_listener listener{
        event_loop, [this](auto stream) {
            this->connections.push_back(std::make_shared<server_connection>(
                this->event_loop, std::move(stream), this->options));
            this->connections.back()->start(
                [this](const auto& load) { return this->may_hold(load); });
        }};
    client_pool pool{event_loop};
    std::shared_ptr<pooled_call> active;
    std::shared_ptr<event::tcp_stream> raw_stream;
    std::string raw_answer;
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
    this->write_raw("GET /x HT");
    this->run_until([this]() { return !this->raw_answer.empty(); });
    EXPECT_TRUE(this->raw_answer.starts_with("HTTP/1.1 408"));
    EXPECT_TRUE(this->requests.empty());
}

// Guards against a refused request that has run.
TEST_F(connection_test, refuses_a_request_that_may_not_be_held)
{
    this->may_hold = [](const auto& load) {
        return load.phase != connection_phase::running;
    };
    this->call_and_wait();
    EXPECT_EQ(this->head->status, 503);
    EXPECT_FALSE(this->head->headers.find("Retry-After").empty());
    EXPECT_TRUE(this->requests.empty());
}

TEST_F(connection_test, refuses_a_body_that_may_not_be_held)
{
    constexpr auto max_bytes = std::size_t(100000);
    this->may_hold = [](const auto& load) {
        return load.bytes <= max_bytes;
    };
    this->write_raw("POST /x HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" +
                    std::string(max_bytes * 2, 'x'));
    this->run_until([this]() { return !this->raw_answer.empty(); });
    EXPECT_TRUE(this->raw_answer.starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(this->requests.empty());
}

// Guards against responses without bound to a caller that sends requests and
// reads nothing.
TEST_F(connection_test, pipelined_requests_wait_until_responses_are_read)
{
    constexpr auto response_bytes = std::size_t(1) << 20U;
    constexpr auto count = 100;
    this->idle_timeout = core::milliseconds(500);
    this->answer = [](auto exchange) {
        exchange->respond(200, {}, std::string(response_bytes, 'x'));
    };
    auto text = std::string();
    for (auto number = 0; number < count; ++number) {
        text += "GET /x HTTP/1.1\r\n\r\n";
    }
    this->write_raw(text);
    this->run_until([this]() { return this->raw_stream != nullptr; });
    this->raw_stream->pause_reading();
    this->run_until([this]() { return this->unread == 1; });
    EXPECT_TRUE(this->connections.empty());
    EXPECT_LT(this->requests.size(), std::size_t(count / 2));
}

// Callers reuse connections that have been idle for less than the timeout in
// force, which may have become longer since their last request.
TEST_F(connection_test, an_idle_connection_stays_open_for_a_longer_timeout)
{
    this->idle_timeout = core::milliseconds(50);
    this->call_and_wait();
    this->idle_timeout = core::milliseconds(200);
    this->run_until([this]() { return this->connections.empty(); });
    ASSERT_TRUE(this->closed_after);
    EXPECT_GT(*this->closed_after, core::milliseconds(190));
}

TEST_F(connection_test, a_shorter_timeout_closes_no_idle_connection_sooner)
{
    this->idle_timeout = core::milliseconds(200);
    this->call_and_wait();
    this->idle_timeout = core::milliseconds(50);
    this->run_until([this]() { return this->connections.empty(); });
    ASSERT_TRUE(this->closed_after);
    EXPECT_GT(*this->closed_after, core::milliseconds(190));
}

// The same for a request that is being read when its timeout becomes longer.
TEST_F(connection_test, an_incomplete_request_has_the_longer_timeout)
{
    this->write_raw("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
                    "Expect: 100-continue\r\n\r\n");
    this->run_until([this]() { return !this->raw_answer.empty(); });
    ASSERT_TRUE(this->raw_answer.starts_with("HTTP/1.1 100"));
    this->raw_answer.clear();
    const auto begin = this->clock.now();
    this->header_timeout = core::milliseconds(400);
    this->run_until([this]() { return !this->raw_answer.empty(); });
    EXPECT_TRUE(this->raw_answer.starts_with("HTTP/1.1 408"));
    EXPECT_GT(this->clock.now() - begin, core::milliseconds(350));
}

// A request on a connection that was idle when larger limits came into force
// was rejected by the old ones.
TEST_F(connection_test, a_request_is_read_within_the_limits_in_force)
{
    this->limits = {64, 8};
    this->call_and_wait();
    this->limits = parser_limits();
    this->call_and_wait("POST /" + std::string(100, 'x') +
                        " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
                        "123456789");
    EXPECT_EQ(this->head->status, 200);
    EXPECT_EQ(this->pool.opened(), 1U);
    this->limits = {64, 8};
    this->call_and_wait("POST / HTTP/1.1\r\nHost: a\r\n"
                        "Content-Length: 9\r\n\r\n123456789");
    EXPECT_EQ(this->head->status, 413);
}

// A slow reader pauses a call, whose end may be in the same bytes.
TEST_F(connection_test, a_connection_is_read_again_after_a_paused_call)
{
    this->call();
    auto hooks = pool_hooks();
    hooks.on_body = [this](auto) {
        this->active->pause_reading();
    };
    hooks.on_done = [this](auto error, bool) {
        this->outcome = error;
    };
    this->run_until([this]() { return this->outcome.has_value(); });
    this->outcome.reset();
    this->active = this->pool.call(
        {"server", {"127.0.0.1", std::uint16_t(this->listener.port())}},
        "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", {}, std::move(hooks));
    this->run_until([this]() { return this->outcome.has_value(); });
    this->call_and_wait();
    EXPECT_EQ(this->body, "answer");
    EXPECT_EQ(this->pool.opened(), 1U);
}

// The owner of a connection may drop it as soon as it reports its end.
TEST_F(connection_test, an_answer_is_sent_whole_before_its_connection_closes)
{
    constexpr auto size = std::size_t(12) << 20U;
    this->answer = [](const auto& exchange) {
        exchange->respond(200, {}, std::string(size, 'x'));
    };
    this->write_raw("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    this->run_until([this]() {
        return this->requests.size() == 1 && this->connections.empty();
    });
    this->run_until([this]() { return this->raw_answer.size() >= size; });
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

// A server sends an answer again, some calls later. Guards against a copy that
// is taken for the answer to another call.
TEST_F(connection_test, an_answer_with_known_values_is_a_copy)
{
    this->call_and_identify({{"a", "b"}});
    this->call_and_identify({{"c"}});
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 1U);
    this->call_and_identify({{"d", "a"}});
    EXPECT_EQ(*this->outcome, http1_errc::repeated_answer);
    // The true answer may still come on the connection of the copy.
    this->call_and_identify({{"d", "a"}});
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 2U);
    this->call_and_identify({{"e", "e"}});
    EXPECT_EQ(*this->outcome, http1_errc::repeated_answer);
}

TEST_F(connection_test, an_answer_of_another_kind_ends_its_connection)
{
    auto foreign = answer_identity{{"a"}};
    foreign.is_possible = false;
    this->call_and_identify(foreign);
    EXPECT_EQ(*this->outcome, http1_errc::foreign_answer);
    this->call_and_identify({{"a"}});
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 2U);
}

// Guards against a copy of an answer that nothing identifies.
TEST_F(connection_test, an_unidentified_answer_is_the_last_of_its_connection)
{
    this->call_and_identify({{"a"}});
    this->call_and_identify({});
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 1U);
    auto harmless = answer_identity();
    harmless.is_interchangeable = true;
    this->call_and_identify(harmless);
    this->call_and_identify(harmless);
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 2U);
}

// A request goes to the same server again. Guards against a copy of the first
// answer, which has the same id as the second.
TEST_F(connection_test, a_repeated_call_uses_a_connection_without_its_answer)
{
    this->call_and_identify({{"r1"}}, "r1");
    this->call_and_identify({{"r2"}}, "r2");
    EXPECT_EQ(this->pool.opened(), 1U);
    this->call_and_identify({{"r1"}}, "r1");
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 2U);
    // Both connections are idle, and the newer one has carried r1 only.
    this->call_and_identify({{"r2"}}, "r2");
    EXPECT_FALSE(*this->outcome);
    this->call_and_identify({{"r3"}}, "r3");
    EXPECT_EQ(this->pool.opened(), 2U);
}

// Guards against a connection whose history grows without bound.
TEST_F(connection_test, a_connection_is_replaced_when_its_history_is_full)
{
    constexpr auto values_per_answer = 2048;
    auto last = 0;
    const auto call = [this, &last]() {
        auto identity = answer_identity();
        for (auto count = 0; count < values_per_answer; ++count) {
            identity.values.push_back(std::to_string(++last));
        }
        this->call_and_identify(identity);
    };
    call();
    call();
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 1U);
    call();
    EXPECT_FALSE(*this->outcome);
    EXPECT_EQ(this->pool.opened(), 2U);
}

// A server answers early, without a length, and closes its side while it still
// gets the request. Guards against a part of an answer that looks whole: a
// server that was lost closes its connections in the same way.
TEST_F(connection_test, an_answer_that_ends_within_the_request_is_incomplete)
{
    const auto server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    ASSERT_EQ(::bind(server, generic, sizeof(address)), 0);
    ASSERT_EQ(::listen(server, 1), 0);
    auto size = socklen_t(sizeof(address));
    getsockname(server, generic, &size);
    auto is_sent = false;
    auto hooks = pool_hooks();
    hooks.on_sent = [&is_sent]() {
        is_sent = true;
    };
    hooks.on_body = [this](auto bytes) {
        this->body += bytes;
    };
    hooks.on_done = [this](auto error, bool) {
        this->outcome = error;
    };
    // The kernel of the sender takes all of it, that of the server a part.
    constexpr auto request_bytes = std::size_t(2) << 20U;
    this->active = this->pool.call(
        {"raw", {"127.0.0.1", ntohs(address.sin_port)}},
        "POST / HTTP/1.1\r\nHost: a\r\n\r\n" + std::string(request_bytes, 'x'),
        {}, std::move(hooks));
    this->run_until([&is_sent]() { return is_sent; });
    const auto peer = ::accept(server, nullptr, nullptr);
    const auto part = std::string_view("HTTP/1.1 200 OK\r\n\r\npart");
    ASSERT_EQ(send(peer, part.data(), part.size(), 0), ssize_t(part.size()));
    shutdown(peer, SHUT_WR);
    this->run_until([this]() { return this->outcome.has_value(); });
    EXPECT_EQ(this->body, "part");
    EXPECT_EQ(*this->outcome, http1_errc::truncated_message);
    ::close(peer);
    ::close(server);
}

} // namespace
} // namespace almondtiller::http1
