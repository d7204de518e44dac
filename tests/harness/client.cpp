#include "harness/client.h"

#include "harness/http_call.h"
#include "harness/wait.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace almondtiller::harness {

namespace {

constexpr auto http_ok = 200;
constexpr auto max_tries = 6U;
constexpr auto max_pause = core::milliseconds(200);
constexpr auto ask_timeout = core::milliseconds(500);

auto should_try_again(const call_result& result, bool is_repeatable) -> bool
{
    switch (result.outcome) {
    case call_outcome::not_run:
    case call_outcome::no_connection:
        return true;
    case call_outcome::no_answer:
    case call_outcome::incomplete:
    case call_outcome::partial:
    case call_outcome::unknown:
        return is_repeatable;
    case call_outcome::complete:
    case call_outcome::crossed:
    case call_outcome::invalid:
        return false;
    }
    return false;
}

} // namespace

auto client_result::is_surely_not_run() const -> bool
{
    return std::all_of(this->tries.begin(), this->tries.end(),
                       [](call_outcome outcome) {
                           return outcome == call_outcome::not_run ||
                                  outcome == call_outcome::no_connection ||
                                  outcome == call_outcome::invalid;
                       });
}

client::client(std::vector<std::string> addresses, std::string home)
    : known(std::move(addresses)), zone(std::move(home))
{}

client::~client() = default;
client::client(client&&) noexcept = default;
auto client::operator=(client&&) noexcept -> client& = default;

auto client::refresh() -> void
{
    if (!this->endpoints.empty() && now() < this->valid_until) {
        return;
    }
    auto ask = this->endpoints;
    ask.insert(ask.end(), this->known.begin(), this->known.end());
    for (const auto& address : ask) {
        const auto reply = http_call(
            address, "/v1/endpoints?zone=" + this->zone, "", ask_timeout);
        const auto body = nlohmann::json::parse(reply.body, nullptr, false);
        if (reply.status != http_ok || !body.is_object() ||
            body.value("endpoints", nlohmann::json::array()).empty()) {
            continue;
        }
        this->endpoints.clear();
        for (const auto& one : body.at("endpoints")) {
            this->endpoints.push_back(one.at("address").get<std::string>());
        }
        this->valid_until =
            now() + core::milliseconds(body.value("valid_ms", 1000));
        return;
    }
}

auto client::connection(const std::string& address) -> caller&
{
    auto& found = this->connections[address];
    if (!found) {
        found = std::make_unique<caller>(address);
    }
    return *found;
}

auto client::run(const call_request& request, bool is_repeatable)
    -> client_result
{
    const auto deadline = now() + request.deadline;
    const auto can_repeat = is_repeatable || !request.idempotency_key.empty();
    auto result = client_result();
    for (auto index = std::size_t(0); index < max_tries; ++index) {
        this->refresh();
        const auto left =
            std::chrono::duration_cast<core::milliseconds>(deadline - now());
        if (this->endpoints.empty() || left <= core::milliseconds::zero()) {
            break;
        }
        auto attempt = request;
        attempt.deadline = left;
        result.address = this->endpoints[index % this->endpoints.size()];
        result.last = this->connection(result.address).run(attempt);
        result.tries.push_back(result.last.outcome);
        if (result.last.outcome == call_outcome::no_connection) {
            std::erase(this->endpoints, result.address);
        }
        if (!should_try_again(result.last, can_repeat)) {
            break;
        }
        const auto pause = core::milliseconds(result.last.retry_after_ms);
        if (result.last.outcome == call_outcome::not_run) {
            let_pass(std::min(pause, max_pause));
        }
    }
    return result;
}

} // namespace almondtiller::harness
