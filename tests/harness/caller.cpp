#include "harness/caller.h"

#include "harness/stream_reader.h"
#include "harness/wait.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace almondtiller::harness {

namespace {

using nlohmann::json;

constexpr auto http_ok = 200;
/// How much longer than the deadline a caller waits for an answer.
constexpr auto patience = core::milliseconds(2000);

auto body_of(const call_request& request) -> std::string
{
    auto input = json{{"marker", request.marker}};
    if (request.answer_tokens > 0) {
        input["answer_tokens"] = request.answer_tokens;
    }
    auto body = json{{"workspace", request.workspace},
                     {"pipeline", request.pipeline},
                     {"deadline_ms", request.deadline.count()},
                     {"priority", request.priority},
                     {"stream", request.stream},
                     {"input", input}};
    if (!request.idempotency_key.empty()) {
        body["idempotency_key"] = request.idempotency_key;
    }
    return body.dump();
}

auto outcome_of_problem(const json& problem, int status) -> call_outcome
{
    const auto outcome = problem.value("outcome", "");
    if (outcome == "unknown") {
        return call_outcome::unknown;
    }
    if (outcome == "partial") {
        return call_outcome::partial;
    }
    constexpr auto first_server_error = 500;
    constexpr auto too_many_requests = 429;
    if (status < first_server_error && status != too_many_requests &&
        status != http_ok) {
        return call_outcome::invalid;
    }
    return outcome == "not_run" ? call_outcome::not_run : call_outcome::unknown;
}

auto read_problem(const std::string& text, call_result& result) -> void
{
    const auto problem = json::parse(text, nullptr, false);
    result.text = text;
    if (!problem.is_object()) {
        result.outcome = call_outcome::incomplete;
        return;
    }
    result.outcome = outcome_of_problem(problem, result.status);
    result.code = problem.value("code", "");
    result.retry_after_ms = problem.value("retry_after_ms", std::int64_t(0));
}

/// Checks a final object against the request and, for streams, the text that
/// was streamed before it.
auto read_final(const std::string& text, const call_request& request,
                const std::string* streamed, call_result& result) -> void
{
    result.text = text;
    const auto final = json::parse(text, nullptr, false);
    if (!final.is_object() || final.value("outcome", "") != "complete") {
        result.outcome = call_outcome::incomplete;
        return;
    }
    const auto output = final.value("output", json::object());
    const auto is_own = output.is_object() && output.value("markers", json()) ==
                                                  json::array({request.marker});
    const auto is_whole =
        streamed == nullptr || output.value("text", "") == *streamed;
    result.outcome =
        is_own && is_whole ? call_outcome::complete : call_outcome::crossed;
    result.replayed = final.value("replayed", false);
    result.tokens = final.value("tokens", 0U);
    const auto stages = final.value("stages", json::array());
    for (const auto& stage : stages) {
        result.attempts += stage.value("attempts", 0U);
    }
}

/// Follows the events of one streamed answer.
class stream_check
{
public:
    stream_check(const call_request& request, call_result& result,
                 core::time_point start)
        : request(request), result(result), start(start)
    {
        this->result.outcome = call_outcome::incomplete;
    }

    auto take(const stream_event& event) -> void
    {
        if (event.name == "token") {
            this->take_token(event.data);
        } else if (event.name == "error") {
            read_problem(event.data, this->result);
        } else if (event.name == "final") {
            read_final(event.data, this->request, &this->text, this->result);
            if (!this->in_order) {
                this->result.outcome = call_outcome::crossed;
            }
        }
    }

private:
    auto take_token(const std::string& data) -> void
    {
        if (this->next == 0) {
            this->result.first_token = now() - this->start;
        }
        const auto token = json::parse(data, nullptr, false);
        this->in_order = this->in_order && token.is_object() &&
                         token.value("index", -1) == this->next;
        ++this->next;
        if (token.is_object()) {
            this->text += token.value("text", "");
        }
    }

    const call_request& request;
    call_result& result;
    core::time_point start;
    std::int64_t next = 0;
    bool in_order = true;
    std::string text;
};

} // namespace

struct caller::state
{
    explicit state(const std::string& address)
        : client(address.substr(0, address.rfind(':')),
                 std::atoi(address.c_str() + address.rfind(':') + 1))
    {
        this->client.set_keep_alive(true);
        this->client.set_tcp_nodelay(true);
    }

    httplib::Client client;
};

caller::caller(const std::string& address)
    : data(std::make_unique<state>(address))
{}

caller::~caller() = default;
caller::caller(caller&&) noexcept = default;
auto caller::operator=(caller&&) noexcept -> caller& = default;

auto caller::run(const call_request& request) -> call_result
{
    auto& client = this->data->client;
    client.set_connection_timeout(core::milliseconds(1000));
    client.set_read_timeout(request.deadline + patience);
    auto result = call_result();
    const auto start = now();
    auto check = stream_check(request, result, start);
    auto reader =
        stream_reader([&check](const auto& event) { check.take(event); });
    auto http = httplib::Request();
    auto whole = std::string();
    http.method = "POST";
    http.path = "/v1/run";
    http.body = body_of(request);
    http.set_header("Content-Type", "application/json");
    auto streams = false;
    http.response_handler = [&](const httplib::Response& head) {
        result.status = head.status;
        streams = head.get_header_value("Content-Type")
                      .starts_with("text/event-stream");
        return true;
    };
    http.content_receiver = [&](const char* bytes, std::size_t size,
                                std::uint64_t /*offset*/,
                                std::uint64_t /*total*/) {
        if (streams) {
            reader.feed(bytes, size);
        } else {
            whole.append(bytes, size);
        }
        return true;
    };
    const auto answer = client.send(http);
    result.latency = now() - start;
    if (!answer && result.status == 0) {
        result.outcome = answer.error() == httplib::Error::Connection
                             ? call_outcome::no_connection
                             : call_outcome::no_answer;
    } else if (!streams && result.status == http_ok) {
        read_final(whole, request, nullptr, result);
    } else if (!streams) {
        read_problem(whole, result);
    }
    return result;
}

auto to_string(call_outcome outcome) -> std::string
{
    switch (outcome) {
    case call_outcome::complete:
        return "complete";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::partial:
        return "partial";
    case call_outcome::incomplete:
        return "incomplete";
    case call_outcome::crossed:
        return "crossed";
    case call_outcome::no_answer:
        return "no_answer";
    case call_outcome::no_connection:
        return "no_connection";
    case call_outcome::invalid:
        return "invalid";
    }
    return "invalid";
}

} // namespace almondtiller::harness
