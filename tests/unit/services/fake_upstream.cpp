#include "fake_upstream.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto server_threads = 16;
constexpr auto http_unavailable = 503;
constexpr auto json_media_type = "application/json";

auto parse_run(const std::string& body) -> received_run
{
    const auto document = nlohmann::json::parse(body);
    return {document.at("attempt"), document.at("input").dump(),
            document.value("idempotency_key", ""), document.at("stream"),
            document.at("resume_from")};
}

} // namespace

struct fake_upstream::state
{
    httplib::Server server;
    std::thread thread;
    int port = 0;
    mutable std::mutex mutex;
    std::vector<received_run> runs;
    std::vector<std::string> cancelled;
};

fake_upstream::fake_upstream(script answer) : data(std::make_unique<state>())
{
    auto& server = this->data->server;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(server_threads);
    };
    server.set_keep_alive_timeout(1);
    server.Post("/v1/run", [this, answer = std::move(answer)](
                               const auto& request, auto& response) {
        const auto run = parse_run(request.body);
        {
            const auto guard = std::lock_guard(this->data->mutex);
            this->data->runs.push_back(run);
        }
        answer(run, response);
    });
    server.Post("/v1/cancel", [this](const auto& request, auto&) {
        const auto guard = std::lock_guard(this->data->mutex);
        this->data->cancelled.push_back(
            nlohmann::json::parse(request.body).at("attempt"));
    });
    this->data->port = server.bind_to_any_port("127.0.0.1");
    this->data->thread =
        std::thread([this] { this->data->server.listen_after_bind(); });
}

fake_upstream::~fake_upstream()
{
    // stop() has no effect on a server whose thread has not got to listening.
    while (!this->data->server.is_running()) {
        std::this_thread::yield();
    }
    this->data->server.stop();
    this->data->thread.join();
}

auto fake_upstream::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(this->data->port);
}

auto fake_upstream::runs() const -> std::vector<received_run>
{
    const auto guard = std::lock_guard(this->data->mutex);
    return this->data->runs;
}

auto fake_upstream::cancelled() const -> std::vector<std::string>
{
    const auto guard = std::lock_guard(this->data->mutex);
    return this->data->cancelled;
}

auto echo(const received_run& run, httplib::Response& response) -> void
{
    response.set_content(
        nlohmann::json{{"attempt", run.attempt},
                       {"incarnation", "i"},
                       {"state", "warm"},
                       {"output", nlohmann::json::parse(run.input)},
                       {"tokens", 1},
                       {"final", true}}
            .dump(),
        json_media_type);
}

auto refuse_run(const received_run& run, httplib::Response& response) -> void
{
    response.status = http_unavailable;
    response.set_content(nlohmann::json{{"attempt", run.attempt},
                                        {"error", "overloaded"},
                                        {"started", false},
                                        {"incarnation", "i"},
                                        {"state", "warm"}}
                             .dump(),
                         json_media_type);
}

auto stream_tokens(const received_run& run, httplib::Response& response,
                   std::uint64_t last, bool whole) -> void
{
    auto text = std::string();
    for (auto index = run.resume_from; index < last; ++index) {
        text += R"(data: {"attempt":")" + run.attempt + R"(","index":)" +
                std::to_string(index) + R"(,"token":"t)" +
                std::to_string(index) + "\"}\n\n";
    }
    if (whole) {
        text += "event: end\ndata: " +
                nlohmann::json{{"attempt", run.attempt},
                               {"incarnation", "i"},
                               {"state", "warm"},
                               {"tokens", last},
                               {"output", "all"}}
                    .dump() +
                "\n\n";
    }
    response.set_chunked_content_provider(
        "text/event-stream",
        [text, whole](std::size_t, httplib::DataSink& sink) {
            sink.write(text.data(), text.size());
            if (whole) {
                sink.done();
            }
            return whole;
        });
}

} // namespace almondtiller::services
