#include "node_fixture.h"
#include "raw_connection.h"

#include <httplib.h>

#include <list>
#include <thread>

namespace almondtiller::services {

namespace {

constexpr auto health_request = "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n";
constexpr auto body_end = "ok\n";

auto has_event(const std::string& metrics, const std::string& event) -> bool
{
    return metrics.find("almondtiller_http_connections_total{event=\"" + event +
                        "\"} 1") != std::string::npos;
}

} // namespace

using connection_test = node_fixture;

TEST_F(connection_test, cuts_a_slow_sender_off)
{
    this->options.request_read = std::chrono::milliseconds(50);
    this->start({echo});
    auto connection = raw_connection(this->http->port());
    connection.send("POST /v1/run HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    connection.read_all();
    while (!has_event(this->metrics(), "too_slow")) {
        std::this_thread::yield();
    }
    EXPECT_TRUE(this->upstreams[0]->runs().empty());
    EXPECT_EQ(this->call(request_for("plan")).status, 200);
}

TEST_F(connection_test, survives_a_half_closed_request)
{
    this->start({echo});
    auto connection = raw_connection(this->http->port());
    connection.send("POST /v1/run HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    connection.close_half();
    connection.read_all();
    EXPECT_TRUE(this->upstreams[0]->runs().empty());
    EXPECT_EQ(this->call(request_for("plan")).status, 200);
}

TEST_F(connection_test, refuses_a_body_that_is_too_large)
{
    this->options.max_body_bytes = 1000;
    this->start({echo});
    const auto answer = this->call_text(std::string(100000, ' '));
    EXPECT_EQ(answer.status, 413);
    EXPECT_EQ(answer.body["code"], "body_too_large");
    EXPECT_EQ(answer.body["outcome"], "not_run");
}

TEST_F(connection_test, closes_an_idle_connection_to_make_room)
{
    this->options.max_connections = 4;
    this->start({echo});
    auto connections = std::list<raw_connection>();
    for (auto opened = 0; opened < 5; ++opened) {
        auto& connection = connections.emplace_back(this->http->port());
        connection.send(health_request);
        EXPECT_NE(connection.read_to(body_end).find(body_end),
                  std::string::npos);
    }
    EXPECT_EQ(connections.front().read_all(), "");
    EXPECT_TRUE(has_event(this->metrics(), "evicted_idle"));
}

TEST_F(connection_test, rejects_connections_while_all_are_busy)
{
    this->options.max_connections = 1;
    this->start({[this](const received_run& run, httplib::Response& response) {
        this->held.wait();
        echo(run, response);
    }});
    auto first = caller_answer();
    auto caller = std::thread(
        [this, &first] { first = this->call(request_for("plan")); });
    this->held.await_held();
    auto connection = raw_connection(this->http->port());
    const auto text = connection.read_all();
    EXPECT_NE(text.find("503"), std::string::npos);
    EXPECT_NE(text.find("overloaded"), std::string::npos);
    this->held.open();
    caller.join();
    EXPECT_EQ(first.status, 200);
}

TEST_F(connection_test, a_shutdown_lets_a_running_request_finish)
{
    this->start({[this](const received_run& run, httplib::Response& response) {
        this->held.wait();
        stream_tokens(run, response, 3, true);
    }});
    auto body = request_for("plan");
    body["stream"] = true;
    body["deadline_ms"] = 30000;
    auto answer = caller_answer();
    auto caller =
        std::thread([this, &answer, &body] { answer = this->call(body); });
    this->held.await_held();
    const auto port = this->http->port();
    auto stopper = std::thread([this] { this->kernel->shutdown(); });
    auto is_refused = [port] {
        auto client = httplib::Client("127.0.0.1", port);
        return !client.Get("/healthz");
    };
    while (!is_refused()) {
        std::this_thread::yield();
    }
    this->held.open();
    caller.join();
    stopper.join();
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.text.find("event: final"), std::string::npos);
}

} // namespace almondtiller::services
