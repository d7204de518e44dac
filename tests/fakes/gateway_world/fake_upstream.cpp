#include "gateway_world/fake_upstream.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace almondtiller::gateway_world {

namespace {

using json = nlohmann::json;

constexpr auto plain_time = core::milliseconds(3);
constexpr auto event_gap = core::milliseconds(4);
constexpr auto call_time = core::milliseconds(5);
constexpr auto stage_run_path = "/almondtiller/stage-run";
/// Time from the receipt of a prompt that crashes the upstream to the crash.
constexpr auto crash_delay = core::milliseconds(200);
/// How long a crashed upstream accepts no connections.
constexpr auto crash_time = core::milliseconds(2000);

/// \return Whether a list of prompt parts has the part.
auto has_part(std::string_view prompt, const std::string& part) -> bool
{
    return ("," + std::string(prompt)).find("," + part + ":") !=
           std::string::npos;
}

auto event_text(const std::string& request, int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: " + request + "-" +
           std::to_string(number) + "\n\n";
}

} // namespace

auto expected_body(const std::string& request, bool is_stream) -> std::string
{
    if (!is_stream) {
        return "answer to " + request;
    }
    auto body = std::string();
    for (auto number = 1; number <= stream_events; ++number) {
        body += event_text(request, number);
    }
    return body;
}

fake_upstream::fake_upstream(event::loop& loop, std::string id,
                             std::string service, std::string zone,
                             upstream_journal& shared)
    : event_loop(loop),
      own_id(std::move(id)),
      own_service(std::move(service)),
      own_zone(std::move(zone)),
      journal(shared),
      return_timer(loop, [this]() { this->server.listen(); }),
      server(loop, [this](const auto& request, const auto& exchange) {
          this->on_request(request, exchange);
      })
{}

fake_upstream::~fake_upstream()
{
    this->crash();
}

auto fake_upstream::id() const -> const std::string&
{
    return this->own_id;
}

auto fake_upstream::service() const -> const std::string&
{
    return this->own_service;
}

auto fake_upstream::zone() const -> const std::string&
{
    return this->own_zone;
}

auto fake_upstream::address() const -> std::string
{
    return this->advertised.empty() ? core::to_text(this->server.address())
                                    : this->advertised;
}

auto fake_upstream::set_advertised(std::string address) -> void
{
    this->advertised = std::move(address);
}

auto fake_upstream::set_mode(upstream_mode wanted) -> void
{
    this->mode = wanted;
}

auto fake_upstream::set_version(std::string name) -> void
{
    this->own_version = std::move(name);
}

auto fake_upstream::version() const -> const std::string&
{
    return this->own_version;
}

auto fake_upstream::set_failing_every(int count) -> void
{
    this->failing_every = count;
}

auto fake_upstream::set_failure_status(int status) -> void
{
    this->failure_status = status;
}

auto fake_upstream::set_slowness(int factor) -> void
{
    this->slowness = factor;
}

auto fake_upstream::set_silence(core::milliseconds length) -> void
{
    this->silence_length = length;
}

auto fake_upstream::block() -> void
{
    this->server.block();
}

auto fake_upstream::stand_still() -> void
{
    this->is_still = true;
    this->server.stand_still();
}

auto fake_upstream::go_on() -> void
{
    this->is_still = false;
    this->server.go_on();
    for (const auto& action : std::exchange(this->postponed, {})) {
        action();
    }
}

auto fake_upstream::is_standing_still() const -> bool
{
    return this->is_still;
}

auto fake_upstream::set_framing(answer_framing wanted) -> void
{
    this->framing = wanted;
}

auto fake_upstream::set_leaving(bool leaves) -> void
{
    this->is_leaving = leaves;
}

auto fake_upstream::set_hold_off(std::string seconds) -> void
{
    this->hold_off = std::move(seconds);
}

auto fake_upstream::set_request_limit(std::string per_second) -> void
{
    this->request_limit = std::move(per_second);
}

auto fake_upstream::set_load(std::string figures) -> void
{
    this->load = std::move(figures);
}

auto fake_upstream::set_fatal_part(std::string part) -> void
{
    this->fatal_part = std::move(part);
}

auto fake_upstream::set_fatal_body(std::string text) -> void
{
    this->fatal_body = std::move(text);
}

auto fake_upstream::crash_and_return(const run_record& cause) -> void
{
    this->after(crash_delay, [this, cause]() {
        this->journal.crashes.push_back(cause);
        this->return_timer.start(crash_time);
        this->crash();
    });
}

auto fake_upstream::with_limit(http1::header_list headers) const
    -> http1::header_list
{
    if (!this->request_limit.empty()) {
        headers.add("Server-Limit", this->request_limit);
    }
    if (!this->load.empty()) {
        headers.add("X-Almondtiller-Engine-Load", this->load);
    }
    return headers;
}

auto fake_upstream::answer_head(const std::string& request) const
    -> http1::header_list
{
    auto headers = http1::header_list(
        {{"X-Almondtiller-Request-Id", request},
         {"X-Almondtiller-Response-Seal", "seal-" + request}});
    if (this->is_leaving) {
        headers.add("Server-Leaving", "1");
    }
    return this->with_limit(std::move(headers));
}

auto fake_upstream::crash() -> void
{
    this->timers.clear();
    this->is_still = false;
    this->postponed.clear();
    this->server.close();
    std::erase_if(this->journal.results, [this](const auto& item) {
        return item.first.starts_with(this->address() + "/");
    });
}

auto fake_upstream::after(core::milliseconds delay,
                          std::function<void()> action) -> void
{
    auto made = std::shared_ptr<event::timer>();
    const auto slot = std::make_shared<std::weak_ptr<event::timer>>();
    made = std::make_shared<event::timer>(
        this->event_loop, [this, slot, act = std::move(action)]() {
            this->timers.erase(slot->lock());
            if (this->is_still) {
                this->postponed.push_back(act);
            } else {
                act();
            }
        });
    *slot = made;
    made->start(delay);
    this->timers.insert(std::move(made));
}

auto fake_upstream::on_request(const http1::request_message& request,
                               const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    const auto expected =
        request.headers.find("X-Almondtiller-Expect-Instance");
    if (expected != this->own_id) {
        exchange->respond(421, {{"X-Almondtiller-Instance-Id", this->own_id}},
                          "");
        return;
    }
    const auto id =
        std::string(request.headers.find("X-Almondtiller-Request-Id"));
    this->journal.arrivals.push_back(
        {id, this->own_id, request.target, this->event_loop.now()});
    if (this->is_still) {
        this->postponed.push_back([this, request, id, exchange]() {
            this->serve(request, id, exchange);
        });
    } else {
        this->serve(request, id, exchange);
    }
}

auto fake_upstream::serve(const http1::request_message& request,
                          const std::string& id,
                          const std::shared_ptr<raw_exchange>& exchange) -> void
{
    const auto is_free = request.target == "/almondtiller/stage-free";
    if (this->mode == upstream_mode::rejects_all ||
        (this->mode == upstream_mode::rejects_frees && is_free)) {
        this->reject(exchange);
        return;
    }
    if (this->mode == upstream_mode::rejects_late) {
        this->after(rejection_delay,
                    [this, exchange]() { this->reject(exchange); });
        return;
    }
    if (this->mode == upstream_mode::endless) {
        exchange->start(200, this->answer_head(id), answer_framing::chunks);
        this->send_endless(exchange);
        return;
    }
    if (is_free) {
        this->free_results(request, exchange);
        return;
    }
    if (this->mode == upstream_mode::hangs) {
        this->held.push_back(exchange);
    }
    if (request.target == stage_run_path) {
        this->run_stage(request, exchange);
        return;
    }
    const auto is_stream = request.headers.has("X-Almondtiller-Model");
    if (is_stream) {
        if (this->mode == upstream_mode::rejects_twice) {
            this->mode = upstream_mode::works;
            this->reject_twice(id, exchange);
            return;
        }
        const auto status = this->check_inputs(request, id);
        if (status != 200) {
            exchange->respond(
                status, this->with_limit({{"X-Almondtiller-Not-Run", "1"}}),
                "");
            return;
        }
    }
    this->journal.runs.push_back(
        {id, this->own_id, request.target, this->event_loop.now()});
    if (this->mode == upstream_mode::hangs) {
        return;
    }
    if (this->mode == upstream_mode::answers_without_status) {
        exchange->respond(0, this->answer_head(id), "");
        return;
    }
    if (this->failing_every > 0 && ++this->served % this->failing_every == 0) {
        exchange->respond(500, this->answer_head(id), "");
        return;
    }
    if (this->failure_status != 0) {
        exchange->respond(this->failure_status, this->answer_head(id), "");
        return;
    }
    const auto prompt = request.headers.find("X-Almondtiller-Prompt-Prefix");
    const auto is_fatal =
        (!this->fatal_part.empty() && has_part(prompt, this->fatal_part)) ||
        (!this->fatal_body.empty() && request.body == this->fatal_body);
    if (is_fatal) {
        this->crash_and_return(this->journal.runs.back());
        return;
    }
    if (this->mode == upstream_mode::loses_answers) {
        this->after(event_gap, [exchange]() { exchange->abort(); });
        return;
    }
    if (is_stream) {
        const auto last = std::string(request.headers.find("Last-Event-Id"));
        if (this->mode == upstream_mode::fails_resumed_streams &&
            !last.empty()) {
            exchange->respond(500, this->answer_head(id), "");
            return;
        }
        const auto first = last.empty() ? 1 : std::stoi(last) + 1;
        this->run_stream(id, first, exchange);
    } else {
        this->run_plain(id, exchange);
    }
}

auto fake_upstream::reject(const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    auto headers = http1::header_list({{"X-Almondtiller-Not-Run", "1"}});
    if (!this->hold_off.empty()) {
        headers.add("Retry-After", this->hold_off);
    }
    exchange->respond(503, this->with_limit(std::move(headers)), "");
}

auto fake_upstream::reject_twice(const std::string& request,
                                 const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    constexpr auto conflict = 409;
    const auto headers =
        http1::header_list({{"X-Almondtiller-Request-Id", request},
                            {"X-Almondtiller-Not-Run", "1"}});
    exchange->send_late(conflict, headers, "");
    exchange->respond(conflict, headers, "");
}

auto fake_upstream::send_endless(const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    if (exchange->is_finished()) {
        return;
    }
    constexpr auto chunk = std::size_t(1) << 16U;
    constexpr auto max_pending = chunk * 4;
    if (exchange->pending_bytes() < max_pending) {
        this->journal.endless_bytes += chunk;
        exchange->send(std::string(chunk, 'x'));
    }
    this->after(core::milliseconds(1),
                [this, exchange]() { this->send_endless(exchange); });
}

auto fake_upstream::check_inputs(const http1::request_message& request,
                                 const std::string& id) -> int
{
    if (request.headers.find("X-Almondtiller-Pieces").empty()) {
        return 200;
    }
    auto inputs = std::string(request.headers.find("X-Almondtiller-Inputs"));
    if (inputs.empty()) {
        return 400;
    }
    auto handles = std::set<std::string>();
    while (!inputs.empty()) {
        const auto comma = inputs.find(',');
        handles.insert(inputs.substr(0, comma));
        inputs = comma == std::string::npos ? "" : inputs.substr(comma + 1);
    }
    for (const auto& handle : handles) {
        const auto found = this->journal.results.find(handle);
        if (found == this->journal.results.end()) {
            return 409;
        }
        if (found->second.request != id) {
            this->journal.violations.push_back("input of another request: " +
                                               id);
        }
    }
    return 200;
}

auto fake_upstream::run_stage(const http1::request_message& request,
                              const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    ++this->journal.stage_calls;
    if (this->mode == upstream_mode::hangs) {
        return;
    }
    auto answers = json::array();
    const auto body = json::parse(request.body);
    for (const auto& item : body["items"]) {
        auto output = stage_output();
        output.request = item["id"].get<std::string>();
        output.stage = item["stage"].get<std::uint32_t>();
        output.piece = item["piece"].get<std::uint32_t>();
        auto is_gone = false;
        if (!item.contains("inputs") &&
            item.value("key", "") != expected_piece_key) {
            this->journal.violations.push_back(
                "piece without inputs or the caller's key: " + output.request);
        }
        for (const auto& input : item.value("inputs", json::array())) {
            const auto found =
                this->journal.results.find(input.get<std::string>());
            is_gone = is_gone || found == this->journal.results.end();
            if (found != this->journal.results.end() &&
                found->second.request != output.request) {
                this->journal.violations.push_back(
                    "piece with a foreign input: " + output.request);
            }
        }
        if (is_gone) {
            answers.push_back({{"reason", "gone"}});
            continue;
        }
        const auto handle =
            this->address() + "/" + std::to_string(++this->journal.last_handle);
        this->journal.results[handle] = output;
        answers.push_back({{"handle", handle}});
    }
    const auto text = json{{"items", answers}}.dump();
    this->after(call_time * this->slowness, [this, exchange, text]() {
        if (this->mode == upstream_mode::answers_twice) {
            exchange->send_late(200, {{"Content-Type", "application/json"}},
                                text);
        } else if (this->mode == upstream_mode::repeats_stage_answers) {
            exchange->send_late(200, {{"Content-Type", "application/json"}},
                                text, stage_run_path);
        }
        this->send_answer(
            this->with_limit({{"Content-Type", "application/json"}}), text,
            exchange);
    });
}

auto fake_upstream::free_results(const http1::request_message& request,
                                 const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    const auto body = json::parse(request.body);
    for (const auto& handle : body["handles"]) {
        this->journal.freed +=
            this->journal.results.erase(handle.get<std::string>());
    }
    exchange->respond(200, this->with_limit({}), "{}");
}

auto fake_upstream::run_plain(const std::string& request,
                              const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    const auto is_late = this->mode == upstream_mode::answers_late;
    this->after(is_late ? this->silence_length : plain_time * this->slowness,
                [this, request, exchange]() {
                    this->send_answer(this->answer_head(request),
                                      expected_body(request, false), exchange);
                });
}

auto fake_upstream::send_answer(const http1::header_list& headers,
                                const std::string& body,
                                const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    exchange->start(200, headers,
                    this->framing.value_or(answer_framing::length),
                    body.size());
    if (this->mode == upstream_mode::aborts_answers) {
        exchange->send(body.substr(0, body.size() / 2));
        exchange->abort();
        return;
    }
    exchange->send(body);
    exchange->finish();
}

auto fake_upstream::delay_before(int event) const -> core::milliseconds
{
    const auto is_pause = this->mode == upstream_mode::pauses_streams &&
                          event == stream_events / 2;
    return is_pause ? this->silence_length : event_gap * this->slowness;
}

auto fake_upstream::run_stream(const std::string& request, int first,
                               const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    this->after(this->delay_before(first), [this, request, first, exchange]() {
        auto events = std::string();
        for (auto number = first; number <= stream_events; ++number) {
            events += event_text(request, number);
        }
        const auto has_end = this->mode != upstream_mode::ends_within_event;
        if (!has_end && !events.empty()) {
            events.resize(events.size() -
                          event_text(request, stream_events).size() / 2);
        }
        if (this->mode == upstream_mode::sends_no_event) {
            events.clear();
        }
        exchange->start(200, this->answer_head(request),
                        this->framing.value_or(answer_framing::chunks),
                        events.size());
        if (!has_end || events.empty()) {
            exchange->send(events);
            exchange->finish();
            return;
        }
        this->send_event(request, first, exchange);
    });
}

auto fake_upstream::send_event(const std::string& request, int number,
                               const std::shared_ptr<raw_exchange>& exchange)
    -> void
{
    if (exchange->is_finished()) {
        return;
    }
    if (this->mode == upstream_mode::aborts_between_events && number > 2) {
        exchange->abort();
        return;
    }
    const auto text = event_text(request, number);
    if (this->mode == upstream_mode::aborts_answers && number > 2) {
        exchange->send(text.substr(0, text.size() / 2));
        exchange->abort();
        return;
    }
    exchange->send(text);
    if (number == stream_events) {
        exchange->finish();
        return;
    }
    this->after(this->delay_before(number + 1),
                [this, request, number, exchange]() {
                    this->send_event(request, number + 1, exchange);
                });
}

} // namespace almondtiller::gateway_world
