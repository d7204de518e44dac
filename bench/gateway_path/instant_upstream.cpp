#include "instant_upstream.h"

#include <utility>

namespace almondtiller::gateway_path {

namespace {

/// Bytes that wait before the upstream stops writing.
constexpr auto most_pending = std::size_t(128) << 10U;

auto event_text(std::uint64_t number) -> std::string
{
    return "id: " + std::to_string(number) +
           "\ndata: {\"token\":\"a word of it\"}\n\n";
}

} // namespace

instant_upstream::instant_upstream(event::loop& loop)
    : server(loop, [this](const auto& request, const auto& exchange) {
          this->on_request(request, exchange);
      })
{}

auto instant_upstream::address() const -> core::endpoint
{
    return this->server.address();
}

auto instant_upstream::release() -> void
{
    for (const auto& exchange : std::exchange(this->held, {})) {
        exchange->finish();
    }
}

auto instant_upstream::on_request(
    const http1::request_message& request,
    const std::shared_ptr<http1::exchange>& exchange) -> void
{
    const auto id =
        std::string(request.headers.find("X-Almondtiller-Request-Id"));
    const auto headers =
        http1::header_list{{"X-Almondtiller-Request-Id", id},
                           {"X-Almondtiller-Response-Seal", "seal-" + id}};
    constexpr auto ok_status = 200;
    constexpr auto relay = std::string_view("/stream/relay/");
    if (request.target.starts_with("/read/")) {
        exchange->respond(ok_status, headers, "answer to " + id);
        return;
    }
    exchange->start(ok_status, headers, std::nullopt);
    if (request.target.starts_with(relay)) {
        this->send_events(exchange, 1,
                          std::stoull(request.target.substr(relay.size())));
        return;
    }
    exchange->send(event_text(1));
    this->held.push_back(exchange);
}

auto instant_upstream::send_events(
    const std::shared_ptr<http1::exchange>& exchange, std::uint64_t next,
    std::uint64_t count) -> void
{
    while (next <= count && exchange->pending_bytes() < most_pending) {
        exchange->send(event_text(next++));
    }
    if (next > count) {
        exchange->finish();
        return;
    }
    exchange->on_drained([this, exchange, next, count]() {
        this->send_events(exchange, next, count);
    });
}

} // namespace almondtiller::gateway_path
