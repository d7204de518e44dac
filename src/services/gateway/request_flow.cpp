#include "services/gateway/request_flow.h"

#include "platform/caller_messages.h"
#include "platform/stage_calls.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Usual time from the placement of a generation to its first event.
constexpr auto usual_first_event = core::milliseconds(350);
/// A plain request that may be repeated goes elsewhere after that multiple of
/// its target latency without an answer.
constexpr auto plain_silence_factor = 1.2;
/// A stream that may be resumed goes on elsewhere after that time without an
/// event.
constexpr auto stream_silence = core::milliseconds(1500);
constexpr auto connect_limit = core::milliseconds(300);
/// A server may drop an idle connection just as a request is sent; requests
/// that may not be repeated use only connections that were just in use.
constexpr auto unsafe_idle = core::milliseconds(1000);
constexpr auto safe_idle = core::milliseconds(4000);
/// Upstreams that may turn a request away before it is refused.
constexpr auto most_turned_away = 4;
constexpr auto most_stage_restarts = 2;
/// Share of a zone that lacks a service altogether.
constexpr auto least_zone_share = 0.02;
/// Bounds of the time after which a refused caller may come back.
constexpr auto shortest_retry = core::milliseconds(100);
/// Urgency that stands for the most urgent priority, upstreams take 0 to 9.
constexpr auto first_urgency = 2;
constexpr auto last_urgency = 9;
constexpr auto default_deadline = core::milliseconds(10000);
/// A send with less time left than that can't end in time.
constexpr auto least_time_left = core::milliseconds(20);

constexpr auto bad_gateway = 502;
constexpr auto unavailable = 503;
constexpr auto gateway_timeout = 504;
constexpr auto conflict = 409;

auto to_ms(core::duration time) -> core::milliseconds
{
    return std::chrono::duration_cast<core::milliseconds>(time);
}

auto is_success(int status) -> bool
{
    return status >= 200 && status < 300;
}

} // namespace

request_flow::request_flow(
    flow_context& context, serving::caller_request accepted_request,
    std::shared_ptr<http1::exchange> exchange,
    std::shared_ptr<const serving::configuration> in_force,
    const serving::route& chosen, const serving::workspace* owner)
    : shared(context),
      request(std::move(accepted_request)),
      caller(std::move(exchange)),
      config(std::move(in_force)),
      route(chosen),
      accepted(context.owner.now()),
      time_over(context.owner, [this]() { this->on_time_over(); }),
      silence(context.owner, [this]() { this->on_silent(); })
{
    this->priority = this->route.priority;
    if (owner != nullptr) {
        this->workspace = owner->name;
        this->priority = owner->priority.value_or(this->priority);
    }
    const auto patience = std::min(
        this->request.deadline.value_or(default_deadline), this->route.timeout);
    this->due = this->accepted + this->route.target_latency;
    this->deadline = this->accepted + patience;
}

auto request_flow::elapsed_ms() const -> std::string
{
    return std::to_string(
        to_ms(this->shared.owner.now() - this->accepted).count());
}

auto request_flow::is_repeatable() const -> bool
{
    return this->route.kind == serving::route_kind::idempotent ||
           (this->route.kind == serving::route_kind::streaming &&
            this->route.is_resumable);
}

auto request_flow::may_repeat() const -> bool
{
    return this->is_repeatable() &&
           this->attempts<this->route.max_attempts&& this->deadline -
                          this->shared.owner.now()>
               least_time_left;
}

auto request_flow::choose_service() -> void
{
    auto total = 0.0;
    for (const auto& option : this->route.services) {
        total += option.weight;
    }
    auto drawn = this->shared.random.unit() * total;
    for (const auto& option : this->route.services) {
        this->service = option.service;
        drawn -= option.weight;
        if (drawn < 0) {
            return;
        }
    }
}

auto request_flow::zone_shares() const -> std::map<core::zone_name, double>
{
    auto services = std::set<serving::service_name>{this->service};
    for (const auto& stage : this->route.stages) {
        services.insert(stage.service);
    }
    auto shares = std::map<core::zone_name, double>();
    for (const auto& known : this->shared.known.usable(this->service)) {
        shares[known.upstream.zone] = 1.0;
    }
    for (const auto& name : services) {
        const auto usable = this->shared.known.usable(name);
        for (auto& entry : shares) {
            const auto here = std::count_if(
                usable.begin(), usable.end(), [&entry](const auto& known) {
                    return known.upstream.zone == entry.first;
                });
            const auto part =
                double(here) / double(std::max<std::size_t>(usable.size(), 1));
            entry.second =
                std::min(entry.second, std::max(part, least_zone_share));
        }
    }
    return shares;
}

auto request_flow::home_zone() const -> core::zone_name
{
    const auto& prompt = this->request.prompt;
    const auto key = routing::placement_hash(prompt.size() >= 2
                                                 ? prompt[prompt.size() - 2].id
                                                 : this->request.id.str());
    auto best = core::zone_name();
    auto best_score = 0.0;
    for (const auto& [zone, share] : this->zone_shares()) {
        // Weighted rendezvous hashing: -w / ln(u) for u uniform in (0, 1).
        const auto weight = routing::rendezvous_weight(
            key, routing::placement_hash(zone.str()));
        const auto unit = (double(weight) + 1.0) / 18446744073709551618.0;
        const auto score = -share / std::log(unit);
        if (best.empty() || score > best_score) {
            best = zone;
            best_score = score;
        }
    }
    return best;
}

auto request_flow::start() -> void
{
    this->shared.metrics.count_request();
    const auto self = this->shared_from_this();
    this->caller->on_gone([self]() { self->on_caller_gone(); });
    this->time_over.start(to_ms(this->deadline - this->shared.owner.now()));
    this->choose_service();
    if (this->route.stages.empty()) {
        this->place(false);
        return;
    }
    this->stages.emplace(this->route, this->request, *this->config,
                         this->due - usual_first_event,
                         this->deadline - usual_first_event, this->priority,
                         this->home_zone());
    this->run_stages();
}

auto request_flow::run_stages() -> void
{
    if (this->stages->is_complete()) {
        this->place(false);
        return;
    }
    const auto self = this->shared_from_this();
    for (const auto stage : this->stages->start_ready()) {
        if (this->is_over) {
            return;
        }
        this->stage_calls.push_back(this->shared.dispatch.run_stage(
            this->stages->service_of(stage), this->stages->work_of(stage),
            [self, stage, round = this->stage_restarts](
                const dispatch::stage_outcome& outcome) {
                if (self->is_over || round != self->stage_restarts) {
                    if (!outcome.handles.empty()) {
                        self->release({{self->stages->service_of(stage),
                                        outcome.handles}});
                    }
                    return;
                }
                self->on_stage(stage, outcome);
            }));
    }
}

auto request_flow::on_stage(std::size_t stage,
                            const dispatch::stage_outcome& outcome) -> void
{
    switch (outcome.status) {
    case dispatch::stage_status::done:
        this->release(this->stages->on_done(stage, outcome.handles));
        this->run_stages();
        return;
    case dispatch::stage_status::input_gone:
        this->restart_stages();
        return;
    case dispatch::stage_status::refused:
        this->refuse("stage_overloaded", outcome.retry_after);
        return;
    case dispatch::stage_status::failed:
        this->refuse("stage_failed", shortest_retry);
        return;
    }
}

auto request_flow::restart_stages() -> void
{
    for (const auto number : std::exchange(this->stage_calls, {})) {
        this->shared.dispatch.cancel(number);
    }
    this->release(this->stages->reset());
    ++this->stage_restarts;
    if (this->stage_restarts > most_stage_restarts) {
        this->refuse("results_lost", shortest_retry);
        return;
    }
    this->shared.metrics.count_repeat("results_lost");
    this->run_stages();
}

auto request_flow::release(const std::vector<released_results>& results) -> void
{
    for (const auto& part : results) {
        if (!part.handles.empty()) {
            this->shared.dispatch.free_results(part.service, part.handles);
        }
    }
}

auto request_flow::place(bool is_repeat) -> void
{
    auto wanted = dispatch::placement_request();
    wanted.request = this->request.id;
    wanted.prompt = this->request.prompt;
    wanted.output_tokens = this->request.expected_output_tokens > 0
                               ? this->request.expected_output_tokens
                               : this->request.max_output_tokens;
    wanted.excluded = this->excluded;
    wanted.due = this->due;
    wanted.deadline = this->deadline - least_time_left;
    wanted.priority = this->priority;
    wanted.is_repeat = is_repeat;
    if (this->stages) {
        const auto handles = this->stages->inputs();
        const auto sizes = this->stages->input_bytes();
        for (auto index = std::size_t(0); index < handles.size(); ++index) {
            const auto holder = adapter::result_holder(handles[index]);
            for (const auto& [id, known] : this->shared.known.upstreams()) {
                if (holder && known.upstream.address == *holder) {
                    wanted.inputs.push_back(
                        {known.upstream.zone, sizes[index]});
                }
            }
        }
    }
    const auto self = this->shared_from_this();
    this->placing = this->shared.dispatch.place(
        this->service, std::move(wanted),
        [self](const dispatch::placement_outcome& outcome) {
            self->placing = 0;
            if (!self->is_over) {
                self->on_placed(outcome);
            } else if (outcome.status == dispatch::placement_status::granted) {
                self->shared.dispatch.report_ended(
                    self->service, self->request.id,
                    dispatch::work_end::given_up);
            }
        });
}

auto request_flow::on_placed(const dispatch::placement_outcome& outcome) -> void
{
    if (outcome.status == dispatch::placement_status::granted) {
        this->send(outcome.upstream);
        return;
    }
    if (this->caller->is_started()) {
        this->break_off("no_upstream_to_resume");
    } else if (this->head && !is_success(this->verdict.status) &&
               !this->verdict.not_run) {
        // The upstream's own failure is the best answer there is.
        this->on_answer();
    } else if (this->attempts > 0) {
        this->fail(bad_gateway, "no_upstream_for_repeat");
    } else {
        this->refuse("no_upstream", outcome.retry_after);
    }
}

auto request_flow::send(const serving::upstream& granted) -> void
{
    this->upstream = granted;
    const auto now = this->shared.owner.now();
    if (!this->shared.known.is_usable(granted.id)) {
        this->excluded.push_back(granted.id);
        this->end_attempt(dispatch::work_end::given_up);
        this->place(this->attempts > 0);
        return;
    }
    auto with = serving::upstream_send();
    with.expected = granted.id;
    with.time_left = to_ms(this->deadline - now);
    with.workspace = this->workspace;
    with.urgency = std::min(first_urgency + this->priority, last_urgency);
    with.last_event = this->events.last_id().empty() ? this->request.last_event
                                                     : this->events.last_id();
    if (this->stages) {
        with.inputs = this->stages->inputs();
    }
    this->head.reset();
    this->body.clear();
    this->events.restart();
    ++this->attempts;
    auto options = http1::call_options();
    options.connect_limit = connect_limit;
    options.longest_idle = this->is_repeatable() ? safe_idle : unsafe_idle;
    options.has_no_body = this->request.method == "HEAD";
    const auto self = this->shared_from_this();
    auto hooks = http1::pool_hooks();
    hooks.on_head = [self](http1::response_head answer) {
        self->on_head(std::move(answer));
    };
    hooks.on_body = [self](std::string_view bytes) {
        self->on_body(bytes);
    };
    hooks.on_done = [self](std::error_code error, bool sent) {
        self->on_done(error, sent);
    };
    if (this->attempts < this->route.max_attempts && this->is_repeatable()) {
        const auto is_plain =
            this->route.kind == serving::route_kind::idempotent;
        const auto patience = core::milliseconds(std::int64_t(
            double(this->route.target_latency.count()) * plain_silence_factor));
        this->silence.start(is_plain ? patience : patience + stream_silence);
    }
    this->call =
        this->shared.pool.call({granted.id.str(), granted.address},
                               adapter::encode_request(this->request, with),
                               options, std::move(hooks));
}

auto request_flow::on_head(http1::response_head answer) -> void
{
    this->verdict = adapter::decode_verdict(answer);
    const auto is_other = !this->verdict.request.empty() &&
                          this->verdict.request != this->request.id;
    const auto is_unsealed =
        is_success(this->verdict.status) && !this->verdict.is_sealed;
    if (is_other || is_unsealed) {
        // An answer to another request, or of no upstream.
        std::exchange(this->call, nullptr)->cancel();
        this->on_broken(http1::http1_errc::unexpected_bytes, true);
        return;
    }
    this->head = std::move(answer);
    this->is_stream = is_success(this->verdict.status) &&
                      this->route.kind == serving::route_kind::streaming;
    if (this->is_stream) {
        this->shared.dispatch.report_started(this->service, this->request.id);
    }
}

auto request_flow::on_body(std::string_view bytes) -> void
{
    if (this->is_stream) {
        this->pass_events(bytes);
    } else {
        this->body += bytes;
    }
}

auto request_flow::pass_events(std::string_view bytes) -> void
{
    const auto whole = this->events.feed(bytes);
    if (whole.empty()) {
        return;
    }
    if (!this->caller->is_started()) {
        this->caller->start(this->verdict.status,
                            adapter::answer_headers(*this->head), std::nullopt);
        if (this->stages) {
            this->release(this->stages->reset());
        }
    }
    this->caller->send(whole);
    if (this->may_repeat()) {
        this->silence.start(stream_silence);
    } else {
        this->silence.stop();
    }
    constexpr auto most_pending = std::size_t(256) << 10U;
    if (this->caller->pending_bytes() > most_pending && this->call) {
        this->call->pause_reading();
        this->caller->on_drained([self = this->shared_from_this()]() {
            if (self->call) {
                self->call->resume_reading();
            }
        });
    }
}

auto request_flow::on_done(std::error_code error, bool sent) -> void
{
    this->silence.stop();
    this->call.reset();
    if (this->is_over) {
        return;
    }
    if (error) {
        this->on_broken(error, sent);
    } else if (this->verdict.not_run) {
        this->on_not_run();
    } else {
        this->on_answer();
    }
}

auto request_flow::on_not_run() -> void
{
    --this->attempts;
    ++this->turned_away;
    this->shared.log.write(severity::notice, "turned_away",
                           {{"request", this->request.id.str()},
                            {"upstream", this->upstream->id.str()},
                            {"status", std::to_string(this->verdict.status)},
                            {"elapsed_ms", this->elapsed_ms()}});
    this->excluded.push_back(this->upstream->id);
    this->end_attempt(dispatch::work_end::turned_away);
    if (this->verdict.status == conflict && this->stages) {
        this->excluded.clear();
        this->restart_stages();
        return;
    }
    if (this->turned_away > most_turned_away) {
        if (this->caller->is_started()) {
            this->break_off("turned_away");
        } else {
            this->refuse("turned_away", shortest_retry);
        }
        return;
    }
    this->shared.metrics.count_repeat("turned_away");
    this->place(true);
}

auto request_flow::on_answer() -> void
{
    const auto status = this->verdict.status;
    constexpr auto first_server_error = 500;
    if (this->upstream) {
        if (status >= first_server_error && this->may_repeat()) {
            this->excluded.push_back(this->upstream->id);
            this->end_attempt(dispatch::work_end::completed);
            this->shared.metrics.count_repeat("upstream_error");
            this->place(true);
            return;
        }
        this->end_attempt(dispatch::work_end::completed);
    }
    if (this->is_stream) {
        if (!this->caller->is_started()) {
            this->caller->start(status, adapter::answer_headers(*this->head),
                                std::nullopt);
        }
        this->caller->send(this->events.rest());
        this->caller->finish();
    } else {
        this->caller->respond(status, adapter::answer_headers(*this->head),
                              this->body);
    }
    this->finish("answered",
                 is_success(status) ? severity::detail : severity::failure,
                 is_success(status) ? "success" : "upstream_error", status);
}

auto request_flow::on_broken(std::error_code error, bool sent) -> void
{
    this->shared.log.write(
        severity::failure, "attempt_broken",
        {{"request", this->request.id.str()},
         {"upstream", this->upstream ? this->upstream->id.str() : ""},
         {"error", error.message()},
         {"sent", sent ? "yes" : "no"},
         {"events", std::to_string(this->events.events())},
         {"attempts", std::to_string(this->attempts)},
         {"elapsed_ms", this->elapsed_ms()}});
    this->silence.stop();
    this->head.reset();
    if (this->upstream) {
        this->excluded.push_back(this->upstream->id);
    }
    this->end_attempt(dispatch::work_end::failed);
    if (!sent) {
        --this->attempts;
        this->shared.metrics.count_repeat("not_connected");
        // Nothing has arrived anywhere, so this is no repeat.
        this->place(this->attempts + this->turned_away > 0);
    } else if (this->may_repeat()) {
        this->shared.metrics.count_repeat("broken");
        this->place(true);
    } else if (this->caller->is_started()) {
        this->break_off("upstream_broke_off");
    } else {
        this->fail(bad_gateway, "upstream_broke_off");
    }
}

auto request_flow::on_silent() -> void
{
    if (this->is_over || !this->call || !this->may_repeat()) {
        return;
    }
    std::exchange(this->call, nullptr)->cancel();
    this->on_broken(http1::http1_errc::timed_out, true);
}

auto request_flow::end_attempt(dispatch::work_end how) -> void
{
    if (!this->upstream) {
        return;
    }
    this->upstream.reset();
    this->shared.dispatch.report_ended(this->service, this->request.id, how);
}

auto request_flow::on_time_over() -> void
{
    if (this->is_over) {
        return;
    }
    if (this->caller->is_started()) {
        this->break_off("time_over");
    } else if (this->attempts > 0) {
        this->fail(gateway_timeout, "time_over");
    } else {
        this->refuse("time_over", shortest_retry);
    }
}

auto request_flow::on_caller_gone() -> void
{
    if (!this->is_over) {
        this->finish("caller_gone", severity::notice, "caller_left", 0);
    }
}

auto request_flow::refuse(std::string_view reason,
                          core::milliseconds retry_after) -> void
{
    const auto left = to_ms(this->deadline - this->shared.owner.now());
    const auto most = std::max(left / 3, shortest_retry);
    const auto jitter = 1.0 + 0.3 * this->shared.random.unit();
    const auto wait =
        core::milliseconds(std::int64_t(double(retry_after.count()) * jitter));
    const auto bounded = std::clamp(wait, shortest_retry, most);
    this->caller->respond(
        unavailable, adapter::own_answer_headers(this->request.id, bounded),
        "");
    this->finish("refused", severity::failure, reason, unavailable);
}

auto request_flow::fail(int status, std::string_view reason) -> void
{
    this->caller->respond(
        status, adapter::own_answer_headers(this->request.id, std::nullopt),
        "");
    this->finish("failed", severity::failure, reason, status);
}

auto request_flow::break_off(std::string_view reason) -> void
{
    this->caller->abort();
    this->finish("broken_off", severity::failure, reason, 0);
}

auto request_flow::stop() -> void
{
    if (this->is_over) {
        return;
    }
    if (this->caller->is_started()) {
        this->break_off("node_stops");
    } else if (this->attempts > 0) {
        this->fail(bad_gateway, "node_stops");
    } else {
        this->refuse("node_stops", shortest_retry);
    }
}

auto request_flow::finish(std::string_view event, severity level,
                          std::string_view reason, int status) -> void
{
    if (std::exchange(this->is_over, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->time_over.stop();
    this->silence.stop();
    this->shared.metrics.count_outcome(event, reason);
    this->shared.metrics.record_latency(event, this->shared.owner.now() -
                                                   this->accepted);
    this->shared.log.write(
        level, event,
        {{"request", this->request.id.str()},
         {"reason", std::string(reason)},
         {"status", std::to_string(status)},
         {"route", this->route.name},
         {"config", std::to_string(this->config->version)},
         {"elapsed_ms", this->elapsed_ms()},
         {"attempts", std::to_string(this->attempts)},
         {"upstream", this->upstream ? this->upstream->id.str() : "none"}});
    if (this->call) {
        std::exchange(this->call, nullptr)->cancel();
    }
    for (const auto number : std::exchange(this->stage_calls, {})) {
        this->shared.dispatch.cancel(number);
    }
    if (this->placing != 0) {
        this->shared.dispatch.cancel(std::exchange(this->placing, 0));
    }
    this->end_attempt(dispatch::work_end::given_up);
    if (this->stages) {
        this->release(this->stages->reset());
    }
}

} // namespace almondtiller::gateway
