#include "services/upstreams/attempt_call.h"

#include "pipeline/stream_reader.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondtiller::services {

namespace {

using core::milliseconds;
using pipeline::answer_defect;
using routing::attempt_end;

constexpr auto http_ok = 200;
constexpr auto http_unavailable = 503;
constexpr auto max_connect_time = milliseconds(250);
constexpr auto side_call_timeout = milliseconds(200);
constexpr auto run_path = "/v1/run";

auto left_until(core::time_point deadline, core::time_point now) -> milliseconds
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - now);
    return std::max(left, milliseconds(1));
}

/// Adds the input as it is, without building a document of it.
auto body_of(const attempt_order& order, milliseconds left) -> std::string
{
    const auto& stage = order.stage;
    auto document = nlohmann::json{
        {"attempt", order.work.id.str()},
        {"request", order.request.str()},
        {"workspace", order.work.workspace.str()},
        {"kind", settings::to_string(stage.kind)},
        {"model", stage.model},
        {"max_tokens", stage.max_tokens},
        {"priority", order.work.priority},
        {"stream", order.stream},
        {"resume_from", order.resume_from},
        {"deadline_ms", left.count()},
    };
    if (!order.idempotency_key.empty()) {
        document["idempotency_key"] = order.idempotency_key;
    }
    auto text = document.dump();
    text.pop_back();
    text += ",\"input\":" + order.input + "}";
    return text;
}

auto was_never_sent(httplib::Error error) -> bool
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

auto set_timeouts(httplib::Client& client, milliseconds time) -> void
{
    client.set_connection_timeout(std::min(time, max_connect_time));
    client.set_read_timeout(time);
    client.set_write_timeout(time);
}

/// What arrived of one call.
struct received
{
    int status = 0;
    std::string body;
    pipeline::stream_reader reader;
};

auto make_request(const attempt_order& order, milliseconds left, received& into)
    -> httplib::Request
{
    auto request = httplib::Request();
    request.method = "POST";
    request.path = run_path;
    request.set_header("Content-Type", "application/json");
    request.set_header("X-Attempt-Id", order.work.id.str());
    request.set_header("X-Deadline-Ms", std::to_string(left.count()));
    request.body = body_of(order, left);
    request.response_handler = [&into](const httplib::Response& response) {
        into.status = response.status;
        return true;
    };
    request.content_receiver =
        [&into, stream = order.stream](const char* data, std::size_t size,
                                       std::uint64_t, std::uint64_t) {
            const auto piece = std::string_view(data, size);
            if (stream && into.status == http_ok) {
                return into.reader.feed(piece);
            }
            into.body += piece;
            return true;
        };
    return request;
}

auto judge_answer(pipeline::upstream_answer answer) -> call_outcome
{
    auto outcome = call_outcome();
    outcome.answer = std::move(answer);
    switch (outcome.answer.defect) {
    case answer_defect::none:
        outcome.end = attempt_end::succeeded;
        break;
    case answer_defect::foreign:
        outcome.end = attempt_end::mismatched;
        break;
    case answer_defect::cut:
    case answer_defect::miscount:
        outcome.end = attempt_end::failed;
        break;
    }
    outcome.may_run_on = outcome.end != attempt_end::succeeded;
    return outcome;
}

auto judge_failure(const received& got, const core::attempt_id& attempt)
    -> call_outcome
{
    const auto failure = pipeline::parse_failure(got.body, attempt);
    auto outcome = call_outcome();
    outcome.answer.incarnation = failure.incarnation;
    outcome.answer.cold = failure.cold;
    outcome.end = got.status == http_unavailable && failure.not_started
                      ? attempt_end::refused
                      : attempt_end::failed;
    return outcome;
}

auto judge(const attempt_order& order, const received& got,
           const httplib::Result& result, deadline_watch::verdict ended)
    -> call_outcome
{
    if (order.stream && got.reader.is_complete()) {
        return judge_answer(got.reader.answer());
    }
    if (result && got.status != http_ok) {
        return judge_failure(got, order.work.id);
    }
    if (result || (order.stream && got.status == http_ok &&
                   got.reader.answer().defect != answer_defect::cut)) {
        return judge_answer(
            order.stream ? got.reader.answer()
                         : pipeline::parse_answer(got.body, order.work.id));
    }
    auto outcome = call_outcome();
    outcome.answer.defect = answer_defect::cut;
    outcome.may_run_on = true;
    if (was_never_sent(result.error())) {
        outcome.end = attempt_end::not_sent;
        outcome.may_run_on = false;
    } else if (ended == deadline_watch::verdict::deadline_passed) {
        outcome.end = attempt_end::timed_out;
    } else if (ended == deadline_watch::verdict::abandoned) {
        outcome.end = attempt_end::cancelled;
    }
    return outcome;
}

} // namespace

attempt_caller::attempt_caller(const core::runtime_clock& clock)
    : clock(clock), watch(clock)
{}

auto attempt_caller::call(const std::string& address,
                          const attempt_order& order,
                          const attempt_hooks& hooks, core::time_point deadline)
    -> call_outcome
{
    const auto left = left_until(deadline, this->clock.now());
    auto client = this->connections.take(address, !order.stage.idempotent);
    set_timeouts(*client, left);
    auto got = received{0, "",
                        pipeline::stream_reader(
                            order.work.id, order.resume_from, hooks.on_token)};
    auto watched = deadline_watch::call();
    watched.deadline = deadline;
    watched.stop = [&client] {
        client->stop();
    };
    if (order.stage.idempotent) {
        watched.is_abandoned = hooks.is_abandoned;
    }
    auto guard = deadline_watch::guard(this->watch, std::move(watched));
    const auto result = client->send(make_request(order, left, got));
    auto ended = guard.release();
    if (!result && this->clock.now() >= deadline) {
        ended = deadline_watch::verdict::deadline_passed;
    }
    auto outcome = judge(order, got, result, ended);
    if (result && ended == deadline_watch::verdict::none) {
        this->connections.give_back(address, std::move(client));
    }
    return outcome;
}

auto attempt_caller::cancel(const std::string& address,
                            const core::attempt_id& attempt) -> void
{
    const auto body = nlohmann::json{{"attempt", attempt.str()}}.dump();
    // A kept-alive connection may have been closed; a cancellation may be
    // repeated.
    for (const auto fresh : {false, true}) {
        auto client = this->connections.take(address, fresh);
        set_timeouts(*client, side_call_timeout);
        if (client->Post("/v1/cancel", body, "application/json")) {
            this->connections.give_back(address, std::move(client));
            return;
        }
    }
}

auto attempt_caller::load(const std::string& address)
    -> std::optional<std::string>
{
    auto client = this->connections.take(address, false);
    set_timeouts(*client, side_call_timeout);
    auto answer = client->Get("/v1/load");
    if (!answer || answer->status != http_ok) {
        return std::nullopt;
    }
    this->connections.give_back(address, std::move(client));
    return std::move(answer->body);
}

auto attempt_caller::retain(const std::set<std::string>& addresses) -> void
{
    this->connections.retain(addresses);
}

auto attempt_caller::stop() -> void
{
    this->watch.stop();
}

} // namespace almondtiller::services
