#include "dispatch/placement.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// Prompt tokens per millisecond that a model engine is assumed to read until
/// its service has been measured; engines of current sizes read 20 to 80.
constexpr auto initial_tokens_per_ms = 40.0;
/// Delay, in milliseconds, that each running request adds to the answers of its
/// upstream.
constexpr auto ms_per_running_request = 2.0;
/// Share of an engine's KV cache that running requests may take. The rest holds
/// shared prompt parts and covers outputs that are longer than expected.
constexpr auto max_kv_share = 0.85;
/// Weights of the placement cost, in which serving a usual request in time
/// counts about 2: a millisecond of waiting that does not make the request
/// late, a byte of a result that crosses zones, a shared token that is read
/// again, and a late answer. They follow from what the users pay for traffic
/// and tokens.
constexpr auto cost_per_wait_ms = 0.0004;
constexpr auto cost_per_byte = 38e-9;
constexpr auto cost_per_token = 0.00003;
constexpr auto cost_if_late = 2.0;
/// Largest tie-breaking bonus; ties are broken the same way on each node.
constexpr auto max_tie_bonus = 0.005;
/// Time after which a caller should retry if its request finds no upstream. By
/// then, upstreams that were paused or ejected are tried again.
constexpr auto no_upstream_retry = core::milliseconds(300);
/// Assumed time, in milliseconds, for a request at an upstream without a model.
constexpr auto assumed_request_ms = 60.0;

auto is_excluded(const placement_request& request,
                 const core::upstream_id& upstream) -> bool
{
    const auto& excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), upstream) !=
           excluded.end();
}

auto to_milliseconds(core::duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

placement::placement(serving::service spec, placement_limits bounds)
    : service(std::move(spec)),
      limits(bounds),
      retries(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window),
      prefill(initial_tokens_per_ms)
{
    if (bounds.has_fair_sharing) {
        this->order.emplace();
    }
}

auto placement::set_service(const serving::service& spec) -> void
{
    this->service = spec;
}

auto placement::set_retry_allowance(double allowance) -> void
{
    this->retries.set_allowance(allowance);
}

auto placement::set_upstreams(const std::vector<known_upstream>& current,
                              core::time_point now) -> void
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
        } else {
            state.known_since = now;
        }
        state.known = known;
        if (found == this->upstreams.end()) {
            this->restore_running(state);
        }
        state.pacer.set_limit(known.request_limit);
        state.id_hash = routing::placement_hash(known.upstream.id.str());
        if (this->service.model) {
            state.cache.set_capacity(this->service.model->kv_tokens);
        }
    }
    this->upstreams = std::move(kept);
    this->track_speeds();
}

auto placement::prepare(placement_request request) -> waiting_request
{
    auto waiting = waiting_request();
    waiting.prompt = hash_parts(request.prompt);
    const auto parts = waiting.prompt.size();
    // The last part belongs to this request alone, the one before it to its
    // session.
    waiting.tie_break_key =
        parts >= 2 ? waiting.prompt[parts - 2].part
                   : routing::placement_hash(request.request.str());
    waiting.kv_tokens = request.output_tokens;
    for (const auto& part : request.prompt) {
        waiting.kv_tokens += part.tokens;
    }
    waiting.request = std::move(request);
    return waiting;
}

auto placement::submit(placement_request request, core::time_point now) -> void
{
    if (!request.is_retry) {
        this->retries.deposit(now);
    }
    this->queue.push_back(prepare(std::move(request)));
    if (this->order) {
        this->join_flow(this->queue.back(), now);
    }
}

auto placement::cancel(std::uint64_t ticket) -> void
{
    std::erase_if(this->queue, [ticket](const auto& waiting) {
        return waiting.request.ticket == ticket;
    });
}

auto placement::is_available(upstream_state& state, core::time_point now)
    -> bool
{
    if (state.blocked_until > now ||
        state.in_flight >= state.known.upstream.slots ||
        !state.health.admits(state.in_flight, now) ||
        !state.pacer.allows(now)) {
        return false;
    }
    if (this->service.cold_rate > 0 && state.known.cold_until() > now) {
        return state.send_rate.allows(this->cold_sends(state, now), now);
    }
    return true;
}

auto placement::cold_sends(const upstream_state& state,
                           core::time_point now) const -> std::size_t
{
    const auto rate = this->service.cold_rate;
    auto sends = rate;
    if (now - state.known_since < cold_window) {
        // The owner before may have sent as many as the rate allows.
        const auto bound =
            rate * this->limits.cold_factor + this->limits.cold_extra;
        sends = std::min(sends, bound - rate);
    }
    return std::size_t(std::max(std::floor(sends), 1.0));
}

auto placement::available_upstreams(core::time_point now)
    -> std::vector<upstream_state*>
{
    auto available = std::vector<upstream_state*>();
    for (auto& [id, state] : this->upstreams) {
        if (this->is_available(state, now)) {
            available.push_back(&state);
        }
    }
    return available;
}

auto placement::has_candidate(const placement_request& request) const -> bool
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(),
                       [this, &request](const auto& item) {
                           return !is_excluded(request, item.first) &&
                                  this->is_admitted(item.first);
                       });
}

auto placement::paced_wait(const placement_request& request, std::size_t ahead,
                           core::time_point now) const
    -> std::optional<core::duration>
{
    auto rate = 0.0;
    auto earliest = core::time_point::max();
    for (const auto& [id, state] : this->upstreams) {
        if (is_excluded(request, id) || !this->is_admitted(id)) {
            continue;
        }
        if (!state.pacer.is_limited()) {
            return std::nullopt;
        }
        rate += state.pacer.rate();
        earliest = std::min(earliest, state.pacer.next_at());
    }
    const auto queued = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(double(ahead) / rate));
    return std::max(earliest, now) - now + queued;
}

auto placement::decide_wait(const placement_request& request, std::size_t ahead,
                            core::time_point now) const -> wait_decision
{
    if (request.deadline <= now || !this->has_candidate(request)) {
        return {false, no_upstream_retry};
    }
    const auto wait = this->paced_wait(request, ahead, now);
    if (!wait) {
        return {true, core::milliseconds(0)};
    }
    const auto service_time = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(
            this->min_service_ms(request)));
    return {now + *wait + service_time < request.deadline,
            std::chrono::duration_cast<core::milliseconds>(*wait)};
}

auto placement::is_eligible(const upstream_state& state,
                            const waiting_request& waiting) const -> bool
{
    if (is_excluded(waiting.request, state.known.upstream.id)) {
        return false;
    }
    if (!this->fits(state.kv_tokens, waiting.kv_tokens)) {
        return false;
    }
    return !this->service.model || state.in_flight == 0 ||
           double(state.kv_tokens + waiting.kv_tokens) <=
               max_kv_share * double(this->service.model->kv_tokens);
}

auto placement::cost(const upstream_state& state,
                     const waiting_request& waiting, core::time_point now) const
    -> double
{
    const auto& request = waiting.request;
    const auto& upstream = state.known.upstream;
    const auto speed = this->prefill.tokens_per_ms();
    auto wait_ms =
        state.prefill_tokens / speed + ms_per_running_request * state.in_flight;
    auto total = 0.0;
    if (this->service.model) {
        const auto missing = state.cache.missing_tokens(waiting.prompt);
        wait_ms += double(missing) / speed;
        total += cost_per_token * double(missing);
    } else {
        wait_ms += assumed_request_ms * state.in_flight / upstream.slots;
    }
    for (const auto& input : request.inputs) {
        if (input.zone != upstream.zone) {
            total += cost_per_byte * double(input.bytes);
        }
    }
    if (this->speeds.is_enabled()) {
        // Without a model, the time of the request itself is not in wait_ms.
        const auto own_ms = this->service.model ? 0.0 : assumed_request_ms;
        const auto& speed = this->speeds.at(state.speed_index);
        wait_ms = speed.expected_ms(wait_ms + own_ms, now) - own_ms;
        total += this->event_cost(state, request);
    }
    total += cost_per_wait_ms * wait_ms;
    if (to_milliseconds(request.due - now) < wait_ms) {
        total += cost_if_late;
    }
    const auto weight =
        routing::rendezvous_weight(waiting.tie_break_key, state.id_hash);
    return total - max_tie_bonus * double(weight) / 18446744073709551616.0;
}

auto placement::choose(const std::vector<upstream_state*>& available,
                       const waiting_request& waiting,
                       core::time_point now) const -> upstream_state*
{
    upstream_state* best = nullptr;
    auto best_cost = 0.0;
    for (auto* state : available) {
        if (!this->is_eligible(*state, waiting)) {
            continue;
        }
        const auto candidate_cost = this->cost(*state, waiting, now);
        if (best == nullptr || candidate_cost < best_cost) {
            best = state;
            best_cost = candidate_cost;
        }
    }
    return best;
}

auto placement::min_service_ms(const placement_request& request) const -> double
{
    if (!this->service.model) {
        return assumed_request_ms;
    }
    // The last part belongs to this request alone, so no upstream has read it.
    return request.prompt.empty() ? 0.0
                                  : double(request.prompt.back().tokens) /
                                        this->prefill.tokens_per_ms();
}

auto placement::sort_queue(core::time_point now) -> void
{
    if (this->order) {
        this->sort_queue_by_share(now);
        return;
    }
    // Requests that will be late anyway must not delay those that can still be
    // on time.
    const auto sort_key = [this, now](const waiting_request& waiting) {
        const auto& request = waiting.request;
        const auto is_late =
            to_milliseconds(request.due - now) < this->min_service_ms(request);
        return std::tuple(is_late, request.priority, request.due);
    };
    const auto goes_first = [&sort_key](const auto& left, const auto& right) {
        return sort_key(left) < sort_key(right);
    };
    // Usually only the newest request is out of order.
    if (!std::is_sorted(this->queue.begin(), this->queue.end(), goes_first)) {
        std::stable_sort(this->queue.begin(), this->queue.end(), goes_first);
    }
}

auto placement::next(core::time_point now) -> std::vector<placement_outcome>
{
    auto outcomes = std::vector<placement_outcome>();
    if (this->queue.empty()) {
        return outcomes;
    }
    this->sort_queue(now);
    auto available = this->available_upstreams(now);
    auto kept = this->queue.begin();
    for (auto& waiting : this->queue) {
        const auto& request = waiting.request;
        auto outcome = placement_outcome();
        outcome.ticket = request.ticket;
        const auto is_too_large = !this->fits(0, waiting.kv_tokens);
        auto* chosen = is_too_large
                           ? nullptr
                           : this->choose_by_version(available, waiting, now);
        if (is_too_large) {
            outcome.status = placement_status::too_large;
            outcome.retry_after = no_upstream_retry;
        } else if (chosen == nullptr) {
            const auto ahead = std::size_t(kept - this->queue.begin());
            const auto decision = this->decide_wait(request, ahead, now);
            if (decision.can_wait) {
                if (&*kept != &waiting) {
                    *kept = std::move(waiting);
                }
                ++kept;
                continue;
            }
            outcome.status = placement_status::rejected;
            outcome.retry_after = decision.retry_after;
        } else if (request.is_retry && !this->retries.try_withdraw(now)) {
            outcome.status = placement_status::retry_budget_exhausted;
        } else {
            outcome.upstream = chosen->known.upstream;
            outcome.request_limit = chosen->known.request_limit;
            this->place(waiting, *chosen, now);
            this->record_version(*chosen, now);
            chosen->pacer.record(now);
            if (!this->is_available(*chosen, now)) {
                std::erase(available, chosen);
            }
        }
        this->leave_flow(waiting, outcome.status, now);
        outcomes.push_back(std::move(outcome));
    }
    this->queue.erase(kept, this->queue.end());
    return outcomes;
}

auto placement::speed() const -> const prefill_speed&
{
    return this->prefill;
}

auto placement::waiting() const -> std::size_t
{
    return this->queue.size();
}

} // namespace almondtiller::dispatch
