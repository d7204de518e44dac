#include "dispatch/placement.h"

#include <algorithm>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// Pause of an upstream after it rejected a request.
constexpr auto rejection_pause = core::milliseconds(100);

} // namespace

auto placement::place(const waiting_request& waiting, upstream_state& state,
                      core::time_point now) -> void
{
    auto run = running_request();
    run.upstream = state.known.upstream.id;
    run.instance = state.known.upstream.started_ms;
    run.placed_at = now;
    run.quick_part = this->speeds.at(state.speed_index).quick_part(now);
    run.output_tokens = waiting.request.output_tokens;
    if (this->service.model) {
        run.prefill_tokens = double(state.cache.missing_tokens(waiting.prompt));
        run.tokens_before_start = state.prefill_tokens + run.prefill_tokens;
        state.cache.touch(waiting.prompt);
        run.kv_tokens = waiting.kv_tokens;
    }
    ++state.in_flight;
    state.prefill_tokens += run.prefill_tokens;
    state.kv_tokens += run.kv_tokens;
    state.send_rate.record(now);
    this->running[waiting.request.ticket] = run;
}

auto placement::adopt(const placement_request& request,
                      const core::upstream_id& chosen_upstream,
                      core::time_point now) -> void
{
    if (this->running.contains(request.ticket)) {
        return;
    }
    const auto found = this->upstreams.find(chosen_upstream);
    if (found == this->upstreams.end()) {
        // Its memory counts when the upstream becomes usable.
        auto run = running_request();
        run.upstream = chosen_upstream;
        run.placed_at = now;
        run.kv_tokens = this->service.model ? prepare(request).kv_tokens : 0;
        run.is_adopted = true;
        this->running[request.ticket] = run;
    } else {
        this->place(prepare(request), found->second, now);
        // A node hands over many requests at once that it has sent one by one.
        if (found->second.pacer.allows(now)) {
            found->second.pacer.record(now);
        }
        // The time of the send is unknown, so the request gives no speed
        // sample.
        this->running[request.ticket].is_adopted = true;
    }
}

auto placement::restore_running(upstream_state& state) -> void
{
    const auto& upstream = state.known.upstream;
    for (auto& [ticket, run] : this->running) {
        if (run.upstream != upstream.id ||
            run.instance.value_or(upstream.started_ms) != upstream.started_ms) {
            continue;
        }
        run.instance = upstream.started_ms;
        ++state.in_flight;
        state.kv_tokens += run.kv_tokens;
        state.prefill_tokens += run.has_started ? 0.0 : run.prefill_tokens;
    }
}

auto placement::fits(std::uint64_t used, std::uint64_t kv_tokens) const -> bool
{
    const auto memory =
        this->service.model ? this->service.model->kv_tokens : 0;
    return memory == 0 || used + kv_tokens <= memory;
}

auto placement::finish_prefill(running_request& run) -> void
{
    if (std::exchange(run.has_started, true)) {
        return;
    }
    const auto state = this->upstreams.find(run.upstream);
    if (state != this->upstreams.end() &&
        run.instance == state->second.known.upstream.started_ms) {
        auto& backlog = state->second.prefill_tokens;
        backlog = std::max(backlog - run.prefill_tokens, 0.0);
    }
}

auto placement::on_started(std::uint64_t ticket, core::time_point now) -> void
{
    const auto found = this->running.find(ticket);
    if (found == this->running.end()) {
        return;
    }
    auto& run = found->second;
    if (this->service.model && !run.has_started && !run.is_adopted) {
        this->record_start(run, now);
    }
    if (!run.has_started) {
        run.started_at = now;
    }
    this->finish_prefill(run);
}

auto placement::on_ended(std::uint64_t ticket, attempt_end how,
                         core::time_point now) -> void
{
    const auto found = this->running.find(ticket);
    if (found == this->running.end()) {
        return;
    }
    if (how == attempt_end::completed && found->second.has_started) {
        this->output.record(now - found->second.started_at,
                            found->second.output_tokens);
    }
    this->finish_prefill(found->second);
    const auto run = found->second;
    this->running.erase(found);
    const auto found_upstream = this->upstreams.find(run.upstream);
    if (found_upstream == this->upstreams.end()) {
        return;
    }
    auto& state = found_upstream->second;
    // An instance that was started since does not count the request.
    if (run.instance == state.known.upstream.started_ms) {
        state.in_flight -= std::min(state.in_flight, 1U);
        state.kv_tokens -= std::min(state.kv_tokens, run.kv_tokens);
    }
    if (how == attempt_end::completed) {
        static_cast<void>(state.health.on_success(now - run.placed_at,
                                                  core::duration(0), now));
    } else if (how == attempt_end::failed) {
        if (state.health.on_failure(now)) {
            state.health.eject(now);
        }
    } else if (how == attempt_end::rejected) {
        state.blocked_until = now + rejection_pause;
    }
}

} // namespace almondtiller::dispatch
