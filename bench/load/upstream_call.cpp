#include "load/upstream_call.h"

#include "harness/stream_reader.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondtiller::load {

namespace {

using nlohmann::json;

constexpr auto http_ok = 200;

auto body_of(const upstream_request& request) -> std::string
{
    return json{{"attempt", request.attempt},
                {"request", request.request},
                {"workspace", request.workspace},
                {"kind", request.kind},
                {"input", json::parse(request.input)},
                {"idempotency_key", request.idempotency_key},
                {"max_tokens", request.max_tokens},
                {"stream", request.stream},
                {"deadline_ms", request.timeout.count()}}
        .dump();
}

auto read_end(const std::string& text, const upstream_request& request,
              upstream_reply& reply) -> void
{
    const auto end = json::parse(text, nullptr, false);
    if (!end.is_object()) {
        return;
    }
    reply.complete = end.value("attempt", "") == request.attempt &&
                     end.contains("output") &&
                     (request.stream || end.value("final", false));
    reply.tokens = end.value("tokens", 0U);
    reply.output = end.value("output", json::object()).dump();
    reply.may_have_started = end.value("started", true);
}

} // namespace

struct upstream_connection::state
{
    core::runtime_clock clock;
    httplib::Client client;

    explicit state(const std::string& address)
        : client(address.substr(0, address.rfind(':')),
                 std::atoi(address.c_str() + address.rfind(':') + 1))
    {
        this->client.set_keep_alive(true);
        this->client.set_tcp_nodelay(true);
    }
};

upstream_connection::upstream_connection(const std::string& address)
    : data(std::make_unique<state>(address))
{}

upstream_connection::~upstream_connection() = default;
upstream_connection::upstream_connection(upstream_connection&&) noexcept =
    default;
auto upstream_connection::operator=(upstream_connection&&) noexcept
    -> upstream_connection& = default;

auto upstream_connection::call(const upstream_request& request)
    -> upstream_reply
{
    auto& client = this->data->client;
    const auto& clock = this->data->clock;
    client.set_connection_timeout(request.timeout);
    client.set_read_timeout(request.timeout);
    auto reply = upstream_reply();
    const auto start = clock.now();
    auto reader = harness::stream_reader([&](const auto& event) {
        if (event.name == "end") {
            read_end(event.data, request, reply);
        } else if (reply.first_token == core::duration::zero()) {
            reply.first_token = clock.now() - start;
        }
    });
    auto http = httplib::Request();
    auto whole = std::string();
    http.method = "POST";
    http.path = "/v1/run";
    http.body = body_of(request);
    http.set_header("Content-Type", "application/json");
    http.set_header("X-Attempt-Id", request.attempt);
    http.set_header("X-Deadline-Ms", std::to_string(request.timeout.count()));
    http.content_receiver = [&](const char* bytes, std::size_t size,
                                std::uint64_t /*offset*/,
                                std::uint64_t /*total*/) {
        if (request.stream) {
            reader.feed(bytes, size);
        } else {
            whole.append(bytes, size);
        }
        return true;
    };
    const auto answer = client.send(http);
    reply.latency = clock.now() - start;
    if (!answer) {
        reply.complete = false;
        reply.may_have_started = answer.error() != httplib::Error::Connection;
    } else if (!request.stream) {
        read_end(whole, request, reply);
    }
    reply.complete = reply.complete && answer && answer->status == http_ok;
    return reply;
}

} // namespace almondtiller::load
