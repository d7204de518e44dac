#include "dispatch/placement.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// Prompt tokens that a model engine reads in a millisecond; those of both
/// users read 39 to 41.
constexpr auto prefill_tokens_per_ms = 40.0;
/// Slow-down of an upstream's answers by each request that runs on it.
constexpr auto running_ms = 2.0;
/// Share of an engine's memory that running requests may take; the rest keeps
/// shared parts, and covers outputs longer than expected.
constexpr auto kv_share = 0.85;
/// Weights of a placement's cost, where serving a usual request in time counts
/// about 2: a millisecond of waiting that does not make the request late, a
/// byte of a result that crosses zones, a shared token that is read again, and
/// an answer that comes late. From what the users pay for traffic and tokens.
constexpr auto wait_cost = 0.0004;
constexpr auto byte_cost = 38e-9;
constexpr auto token_cost = 0.00003;
constexpr auto late_cost = 2.0;
/// Breaks ties the same way on each node.
constexpr auto tie_cost = 0.005;
/// Pause of an upstream that turned a request away.
constexpr auto full_pause = core::milliseconds(100);
/// A caller whose request finds no upstream comes back after that time, in
/// which upstreams that were turned away or ejected are tried again.
constexpr auto refused_retry = core::milliseconds(300);
/// A plain upstream's usual time for a request, before any is known.
constexpr auto plain_ms = 60.0;

auto milliseconds_of(core::duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

placement::placement(serving::service spec, placement_limits bounds)
    : service(std::move(spec)),
      limits(bounds),
      repeats(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
{}

auto placement::set_service(const serving::service& spec) -> void
{
    this->service = spec;
}

auto placement::set_upstreams(const std::vector<known_upstream>& current)
    -> void
{
    auto kept = std::map<core::upstream_id, upstream_state>();
    for (const auto& known : current) {
        const auto found = this->upstreams.find(known.upstream.id);
        const auto is_same = found != this->upstreams.end() &&
                             found->second.known.upstream.started_ms ==
                                 known.upstream.started_ms;
        auto& state = kept[known.upstream.id];
        if (is_same) {
            state = std::move(found->second);
        }
        state.known = known;
        if (this->service.model) {
            state.cache.set_capacity(this->service.model->kv_tokens);
        }
    }
    this->upstreams = std::move(kept);
}

auto placement::submit(placement_request request, core::time_point now) -> void
{
    if (!request.is_repeat) {
        this->repeats.deposit(now);
    }
    this->queue.push_back(std::move(request));
}

auto placement::cancel(std::uint64_t ticket) -> void
{
    std::erase_if(this->queue, [ticket](const auto& waiting) {
        return waiting.ticket == ticket;
    });
}

auto placement::is_eligible(upstream_state& state,
                            const placement_request& request,
                            std::uint64_t kv_tokens, core::time_point now)
    -> bool
{
    const auto& upstream = state.known.upstream;
    const auto is_excluded =
        std::find(request.excluded.begin(), request.excluded.end(),
                  upstream.id) != request.excluded.end();
    if (is_excluded || state.blocked_until > now ||
        state.in_flight >= upstream.slots ||
        !state.health.admits(state.in_flight, now)) {
        return false;
    }
    if (this->service.model && state.in_flight > 0 &&
        double(state.kv_tokens + kv_tokens) >
            kv_share * double(this->service.model->kv_tokens)) {
        return false;
    }
    if (this->service.cold_rate > 0 && state.known.cold_until() > now) {
        const auto most = std::max(std::floor(this->service.cold_rate), 1.0);
        return state.sends.allows(std::size_t(most), now);
    }
    return true;
}

auto placement::cost(const upstream_state& state,
                     const placement_request& request,
                     core::time_point now) const -> double
{
    const auto& upstream = state.known.upstream;
    auto wait_ms = state.prefill_ms + running_ms * state.in_flight;
    auto total = 0.0;
    if (this->service.model) {
        const auto missing = state.cache.missing_tokens(request.prompt);
        wait_ms += double(missing) / prefill_tokens_per_ms;
        total += token_cost * double(missing);
    } else {
        wait_ms += plain_ms * state.in_flight / upstream.slots;
    }
    for (const auto& input : request.inputs) {
        if (input.zone != upstream.zone) {
            total += byte_cost * double(input.bytes);
        }
    }
    total += wait_cost * wait_ms;
    if (milliseconds_of(request.due - now) < wait_ms) {
        total += late_cost;
    }
    const auto key = request.prompt.size() >= 2
                         ? request.prompt[request.prompt.size() - 2].id
                         : request.request.str();
    const auto weight =
        routing::rendezvous_weight(routing::placement_hash(key),
                                   routing::placement_hash(upstream.id.str()));
    return total - tie_cost * double(weight) / 18446744073709551616.0;
}

auto placement::choose(const placement_request& request, core::time_point now)
    -> upstream_state*
{
    auto kv_tokens = std::uint64_t(request.output_tokens);
    for (const auto& part : request.prompt) {
        kv_tokens += part.tokens;
    }
    upstream_state* best = nullptr;
    auto best_cost = 0.0;
    for (auto& [id, state] : this->upstreams) {
        if (!this->is_eligible(state, request, kv_tokens, now)) {
            continue;
        }
        const auto candidate = this->cost(state, request, now);
        if (best == nullptr || candidate < best_cost) {
            best = &state;
            best_cost = candidate;
        }
    }
    return best;
}

auto placement::place(const placement_request& request, upstream_state& state,
                      core::time_point now) -> void
{
    auto run = running();
    run.upstream = state.known.upstream.id;
    run.placed = now;
    if (this->service.model) {
        run.prefill_ms = double(state.cache.missing_tokens(request.prompt)) /
                         prefill_tokens_per_ms;
        state.cache.touch(request.prompt, now);
        run.kv_tokens = request.output_tokens;
        for (const auto& part : request.prompt) {
            run.kv_tokens += part.tokens;
        }
    }
    ++state.in_flight;
    state.prefill_ms += run.prefill_ms;
    state.kv_tokens += run.kv_tokens;
    state.sends.record(now);
    this->placed[request.ticket] = run;
}

auto placement::least_ms(const placement_request& request) const -> double
{
    if (!this->service.model) {
        return plain_ms;
    }
    // The last part is the request's own, no upstream has read it.
    return request.prompt.empty()
               ? 0.0
               : double(request.prompt.back().tokens) / prefill_tokens_per_ms;
}

auto placement::next(core::time_point now) -> std::vector<placement_outcome>
{
    // What will be late anyway must not make late what can still be on time.
    const auto rank = [this, now](const placement_request& request) {
        const auto is_late =
            milliseconds_of(request.due - now) < this->least_ms(request);
        return std::tuple(is_late, request.priority, request.due);
    };
    std::stable_sort(this->queue.begin(), this->queue.end(),
                     [&rank](const auto& left, const auto& right) {
                         return rank(left) < rank(right);
                     });
    auto outcomes = std::vector<placement_outcome>();
    auto waiting = std::vector<placement_request>();
    for (auto& request : this->queue) {
        auto outcome = placement_outcome();
        outcome.ticket = request.ticket;
        auto* chosen = this->choose(request, now);
        if (chosen == nullptr && request.deadline > now &&
            !this->upstreams.empty()) {
            waiting.push_back(std::move(request));
            continue;
        }
        if (chosen == nullptr) {
            outcome.status = placement_status::refused;
            outcome.retry_after = refused_retry;
        } else if (request.is_repeat && !this->repeats.try_withdraw(now)) {
            outcome.status = placement_status::out_of_budget;
        } else {
            outcome.upstream = chosen->known.upstream;
            this->place(request, *chosen, now);
        }
        outcomes.push_back(std::move(outcome));
    }
    this->queue = std::move(waiting);
    return outcomes;
}

auto placement::adopt(const placement_request& request,
                      const core::upstream_id& at, core::time_point now) -> void
{
    const auto found = this->upstreams.find(at);
    if (found != this->upstreams.end() &&
        !this->placed.contains(request.ticket)) {
        this->place(request, found->second, now);
    }
}

auto placement::on_started(std::uint64_t ticket, core::time_point now) -> void
{
    static_cast<void>(now);
    const auto found = this->placed.find(ticket);
    if (found == this->placed.end() || found->second.started) {
        return;
    }
    found->second.started = true;
    const auto state = this->upstreams.find(found->second.upstream);
    if (state != this->upstreams.end()) {
        state->second.prefill_ms =
            std::max(state->second.prefill_ms - found->second.prefill_ms, 0.0);
    }
}

auto placement::on_ended(std::uint64_t ticket, work_end how,
                         core::time_point now) -> void
{
    this->on_started(ticket, now);
    const auto found = this->placed.find(ticket);
    if (found == this->placed.end()) {
        return;
    }
    const auto run = found->second;
    this->placed.erase(found);
    const auto at = this->upstreams.find(run.upstream);
    if (at == this->upstreams.end()) {
        return;
    }
    auto& state = at->second;
    state.in_flight -= std::min(state.in_flight, 1U);
    state.kv_tokens -= std::min(state.kv_tokens, run.kv_tokens);
    if (how == work_end::completed) {
        static_cast<void>(
            state.health.on_success(now - run.placed, core::duration(0), now));
    } else if (how == work_end::failed) {
        if (state.health.on_failure(now)) {
            state.health.eject(now);
        }
    } else if (how == work_end::turned_away) {
        state.blocked_until = now + full_pause;
    }
}

auto placement::waiting() const -> std::size_t
{
    return this->queue.size();
}

} // namespace almondtiller::dispatch
