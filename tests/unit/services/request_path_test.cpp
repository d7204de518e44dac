#include "node_fixture.h"
#include "services/node/node_service.h"

#include <httplib.h>

#include <chrono>

namespace almondtiller::services {

namespace {

auto count_of(const std::string& text, const std::string& part) -> int
{
    auto count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

using request_path_test = node_fixture;

TEST_F(request_path_test, gives_the_whole_answer)
{
    this->start({echo});
    const auto answer = this->call(request_for("plan"));
    EXPECT_EQ(answer.status, 200) << answer.text;
    EXPECT_EQ(answer.body["outcome"], "complete");
    EXPECT_EQ(answer.body["output"]["text"], "draft");
    EXPECT_EQ(answer.body["stages"][0]["attempts"], 1);
}

TEST_F(request_path_test, refuses_bad_input_with_a_problem)
{
    this->start({echo});
    const auto code_of = [this](const nlohmann::json& body) {
        const auto answer = this->call(body);
        EXPECT_GE(answer.status, 400);
        EXPECT_LT(answer.status, 500);
        EXPECT_EQ(answer.body["outcome"], "not_run");
        return answer.body["code"].get<std::string>();
    };
    EXPECT_EQ(this->call_text("{\"workspace\":").status, 400);
    EXPECT_EQ(code_of(request_for("none")), "unknown_pipeline");
    auto body = request_for("plan");
    body["workspace"] = "none";
    EXPECT_EQ(code_of(body), "unknown_workspace");
    body = request_for("plan");
    body["deadline_ms"] = -5;
    EXPECT_EQ(code_of(body), "invalid_deadline");
    EXPECT_EQ(code_of(request_for("confirm")), "idempotency_key_required");
    EXPECT_TRUE(this->upstreams[0]->runs().empty());
    EXPECT_NE(this->metrics().find("reason=\"unknown_pipeline\""),
              std::string::npos);
}

TEST_F(request_path_test, refuses_new_requests_when_it_leaves)
{
    this->start({echo});
    this->kernel->find<node_service>(node_service_name)->set_refusing();
    const auto answer = this->call(request_for("plan"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.body["code"], "node_leaving");
    EXPECT_EQ(answer.body["outcome"], "not_run");
    EXPECT_TRUE(this->upstreams[0]->runs().empty());
}

TEST_F(request_path_test, tries_another_upstream_after_a_refused_connection)
{
    this->add_dead_upstream();
    this->start({echo});
    for (auto request = 0; request < 4; ++request) {
        EXPECT_EQ(this->call(request_for("plan")).status, 200);
    }
}

TEST_F(request_path_test, drops_an_answer_to_another_attempt)
{
    this->start({[this](const received_run& run, httplib::Response& response) {
        auto answered = run;
        if (++this->run_count == 1) {
            answered.attempt = "crossed";
            answered.input = "\"crossed\"";
        }
        echo(answered, response);
    }});
    const auto answer = this->call(request_for("plan"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body["output"]["text"], "draft");
    EXPECT_EQ(this->run_count, 2);
    EXPECT_NE(this->metrics().find("reason=\"foreign\""), std::string::npos);
}

TEST_F(request_path_test, answers_at_the_deadline_and_cancels_the_attempt)
{
    this->start({[this](const received_run& run, httplib::Response& response) {
        this->held.wait();
        echo(run, response);
    }});
    auto body = request_for("plan");
    body["deadline_ms"] = 150;
    const auto clock = core::runtime_clock();
    const auto start = clock.now();
    const auto answer = this->call(body);
    const auto took = clock.now() - start;
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(answer.body["code"], "deadline_exceeded");
    EXPECT_EQ(answer.body["outcome"], "not_run");
    EXPECT_GE(took, std::chrono::milliseconds(140));
    EXPECT_LT(took, std::chrono::milliseconds(600));
    while (this->upstreams[0]->cancelled().empty()) {
        std::this_thread::yield();
    }
    EXPECT_EQ(this->upstreams[0]->cancelled().front(),
              this->upstreams[0]->runs().front().attempt);
    this->held.open();
}

TEST_F(request_path_test, runs_a_side_effect_once_and_replays_its_answer)
{
    this->start({echo});
    auto body = request_for("confirm");
    body["idempotency_key"] = "key";
    const auto first = this->call(body);
    const auto second = this->call(body);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.status, 200);
    EXPECT_FALSE(first.body["replayed"].get<bool>());
    EXPECT_TRUE(second.body["replayed"].get<bool>());
    EXPECT_EQ(first.body["output"], second.body["output"]);
    ASSERT_EQ(this->upstreams[0]->runs().size(), 1);
    EXPECT_EQ(this->upstreams[0]->runs()[0].idempotency_key, "key");
}

TEST_F(request_path_test, calls_a_lost_confirmation_unknown_and_sends_it_once)
{
    this->start({[](const received_run&, httplib::Response& response) {
        response.set_content("{\"cut", "application/json");
    }});
    auto body = request_for("confirm");
    body["idempotency_key"] = "key";
    const auto first = this->call(body);
    EXPECT_EQ(first.body["outcome"], "unknown");
    EXPECT_EQ(first.body["code"], "outcome_unknown");
    EXPECT_EQ(this->call(body).body["outcome"], "unknown");
    EXPECT_EQ(this->upstreams[0]->runs().size(), 1);
}

TEST_F(request_path_test, retries_a_side_effect_that_was_refused)
{
    this->start({[this](const received_run& run, httplib::Response& response) {
        if (++this->run_count == 1) {
            refuse_run(run, response);
        } else {
            echo(run, response);
        }
    }});
    auto body = request_for("confirm");
    body["idempotency_key"] = "key";
    EXPECT_EQ(this->call(body).status, 200);
    EXPECT_NE(this->metrics().find(
                  "almondtiller_retries_total{reason=\"refused\"} 1"),
              std::string::npos);
}

TEST_F(request_path_test, streams_tokens_and_a_last_event)
{
    this->start({[](const received_run& run, httplib::Response& response) {
        stream_tokens(run, response, 5, true);
    }});
    auto body = request_for("plan");
    body["stream"] = true;
    const auto answer = this->call(body);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(count_of(answer.text, "event: token"), 5);
    EXPECT_EQ(count_of(answer.text, "event: final"), 1);
}

TEST_F(request_path_test, resumes_a_broken_stream_without_gap_or_repeat)
{
    this->start({[this](const received_run& run, httplib::Response& response) {
        const auto is_first = ++this->run_count == 1;
        stream_tokens(run, response, is_first ? 3 : 6, !is_first);
    }});
    auto body = request_for("plan");
    body["stream"] = true;
    const auto answer = this->call(body);
    EXPECT_EQ(count_of(answer.text, "event: token"), 6);
    for (auto index = 0; index < 6; ++index) {
        EXPECT_EQ(
            count_of(answer.text, "{\"index\":" + std::to_string(index) + ","),
            1);
    }
    EXPECT_EQ(count_of(answer.text, "event: final"), 1);
    EXPECT_EQ(this->upstreams[0]->runs().back().resume_from, 3);
}

TEST_F(request_path_test, ends_a_stream_that_stays_broken_with_an_error)
{
    this->start({[](const received_run& run, httplib::Response& response) {
        stream_tokens(run, response, 2, false);
    }});
    auto body = request_for("plan");
    body["stream"] = true;
    const auto answer = this->call(body);
    EXPECT_EQ(count_of(answer.text, "event: token"), 2);
    EXPECT_EQ(count_of(answer.text, "event: error"), 1);
    EXPECT_EQ(count_of(answer.text, "\"outcome\":\"partial\""), 1);
}

TEST_F(request_path_test, cancels_a_stream_whose_caller_is_gone)
{
    this->start({[](const received_run& run, httplib::Response& response) {
        auto index = std::make_shared<int>(0);
        response.set_chunked_content_provider(
            "text/event-stream",
            [run, index](std::size_t, httplib::DataSink& sink) {
                const auto text = R"(data: {"attempt":")" + run.attempt +
                                  R"(","index":)" + std::to_string((*index)++) +
                                  ",\"token\":\"t\"}\n\n";
                return sink.write(text.data(), text.size());
            });
    }});
    auto body = request_for("plan");
    body["stream"] = true;
    body["deadline_ms"] = 30000;
    auto client = httplib::Client("127.0.0.1", this->http->port());
    auto request = httplib::Request();
    request.method = "POST";
    request.path = "/v1/run";
    request.body = body.dump();
    request.content_receiver = [](const char*, std::size_t, std::uint64_t,
                                  std::uint64_t) {
        return false;
    };
    client.send(request);
    client.stop();
    while (this->upstreams[0]->cancelled().empty()) {
        std::this_thread::yield();
    }
    EXPECT_EQ(this->upstreams[0]->runs().size(), 1);
}

} // namespace almondtiller::services
