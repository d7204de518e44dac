#include "dispatch/stage_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// Work that would be late is accepted while it could be done within that
/// share of its time; what waits longer is mostly given up in the end.
constexpr auto late_share = 0.5;
/// Late work waits longer than the queue shows, as urgent work goes first.
constexpr auto late_wait_factor = 1.5;
constexpr auto shortest_retry = core::milliseconds(300);
/// Work that moves more bytes should be done in its own zone.
constexpr auto large_transfer_bytes = std::uint64_t(256) << 10U;
/// Work waits for its own zone while it would end there within that share of
/// the time that it has; a byte saved is worth less than an answer on time.
constexpr auto home_wait_share = 0.4;
/// An upstream whose calls take that much longer than nominal is used only
/// under pressure.
constexpr auto slow_ratio = 2.0;
/// Weight of the newest call in an upstream's measured slowness.
constexpr auto slowness_weight = 0.3;
/// A call is overdue after this multiple of its expected time plus a slack
/// for the fetching of inputs; its pieces then go elsewhere as well.
constexpr auto overdue_factor = 2.0;
constexpr auto overdue_slack = core::milliseconds(250);
/// Pause of an upstream that was full.
constexpr auto full_pause = core::milliseconds(40);
/// Results of unknown origin, as of a former owner of the service, are
/// believed to take room for that long before room is tried again.
constexpr auto unknown_room_time = core::milliseconds(400);

auto as_duration(std::chrono::duration<double, std::milli> time)
    -> core::duration
{
    return std::chrono::duration_cast<core::duration>(time);
}

} // namespace

stage_queue::stage_queue(serving::stage_pool spec) : pool(spec)
{}

auto stage_queue::set_pool(const serving::stage_pool& spec) -> void
{
    this->pool = spec;
}

auto stage_queue::set_engines(const std::vector<stage_engine>& current) -> void
{
    auto kept = std::map<core::upstream_id, engine_state>();
    for (const auto& engine : current) {
        const auto found = this->engines.find(engine.id);
        if (found != this->engines.end()) {
            kept[engine.id] = std::move(found->second);
        }
        kept[engine.id].engine = engine;
    }
    this->engines = std::move(kept);
}

auto stage_queue::call_time(std::size_t items) const -> core::duration
{
    return as_duration(this->pool.call_time +
                       this->pool.item_time * double(items));
}

auto stage_queue::is_on_time(const stage_work& work, core::time_point now) const
    -> bool
{
    return now + this->call_time(work.items.size()) <= work.due;
}

auto stage_queue::order(core::time_point now) const
    -> std::vector<const work_state*>
{
    struct ranked
    {
        bool late;
        int priority;
        core::time_point due;
        const work_state* work;
    };
    auto ranks = std::vector<ranked>();
    for (const auto& [ticket, state] : this->works) {
        const auto is_waiting =
            std::any_of(state.pieces.begin(), state.pieces.end(),
                        [](const auto& piece) { return piece.is_waiting; });
        if (is_waiting) {
            ranks.push_back({!this->is_on_time(state.work, now),
                             state.work.priority, state.work.due, &state});
        }
    }
    std::stable_sort(ranks.begin(), ranks.end(),
                     [](const auto& left, const auto& right) {
                         return std::tie(left.late, left.priority, left.due) <
                                std::tie(right.late, right.priority, right.due);
                     });
    auto ordered = std::vector<const work_state*>();
    for (const auto& entry : ranks) {
        ordered.push_back(entry.work);
    }
    return ordered;
}

auto stage_queue::pieces_before(const stage_work& work,
                                core::time_point now) const -> std::size_t
{
    const auto late = !this->is_on_time(work, now);
    auto pieces = std::size_t(0);
    for (const auto& [ticket, state] : this->works) {
        const auto& other = state.work;
        const auto other_late = !this->is_on_time(other, now);
        if (std::tie(other_late, other.priority, other.due) <
            std::tie(late, work.priority, work.due)) {
            pieces += std::size_t(std::count_if(
                state.pieces.begin(), state.pieces.end(),
                [](const auto& piece) { return piece.is_waiting; }));
        }
    }
    return pieces;
}

auto stage_queue::wait_for(std::size_t pieces) const -> core::duration
{
    const auto count = std::max<std::size_t>(this->engines.size(), 1);
    const auto full_calls = double(pieces) / double(this->pool.batch);
    const auto work = this->pool.call_time * full_calls +
                      this->pool.item_time * double(pieces);
    return as_duration(work / double(count));
}

auto stage_queue::estimated_wait(core::time_point now) const -> core::duration
{
    static_cast<void>(now);
    return this->wait_for(this->waiting_pieces());
}

auto stage_queue::waiting_pieces() const -> std::size_t
{
    auto pieces = std::size_t(0);
    for (const auto& [ticket, state] : this->works) {
        pieces += std::size_t(
            std::count_if(state.pieces.begin(), state.pieces.end(),
                          [](const auto& piece) { return piece.is_waiting; }));
    }
    return pieces;
}

auto stage_queue::can_accept(const stage_work& work, core::time_point now) const
    -> bool
{
    const auto own = this->call_time(work.items.size());
    const auto wait = this->wait_for(this->pieces_before(work, now));
    if (now + wait + own <= work.due) {
        return true;
    }
    const auto has_results = !work.items.front().inputs.empty();
    if (has_results) {
        return now + wait + own <= work.deadline;
    }
    const auto late_wait = this->estimated_wait(now) * late_wait_factor;
    return now + wait + this->call_time(1) <= work.deadline;
}

auto stage_queue::submit(stage_work work, core::time_point now)
    -> std::optional<stage_outcome>
{
    if (!this->can_accept(work, now)) {
        auto refusal = stage_outcome();
        refusal.ticket = work.ticket;
        refusal.status = stage_status::refused;
        refusal.retry_after =
            std::max(std::chrono::duration_cast<core::milliseconds>(
                         this->estimated_wait(now)),
                     shortest_retry);
        return refusal;
    }
    auto state = work_state();
    state.pieces.resize(work.items.size());
    state.work = std::move(work);
    const auto ticket = state.work.ticket;
    this->works[ticket] = std::move(state);
    return std::nullopt;
}

auto stage_queue::cancel(std::uint64_t ticket) -> stage_effects
{
    auto effects = stage_effects();
    const auto found = this->works.find(ticket);
    if (found == this->works.end()) {
        return effects;
    }
    for (const auto& piece : found->second.pieces) {
        if (!piece.handle.empty()) {
            effects.unwanted.push_back(piece.handle);
        }
    }
    this->works.erase(found);
    return effects;
}

auto stage_queue::room_used(engine_state& engine, core::time_point now)
    -> std::uint64_t
{
    auto used = std::uint64_t(0);
    std::erase_if(engine.results, [this, now](const auto& item) {
        const auto is_over = item.second.expires <= now;
        if (is_over) {
            this->holders.erase(item.first);
        }
        return is_over;
    });
    for (const auto& [handle, held] : engine.results) {
        used += held.bytes;
    }
    return used;
}

auto stage_queue::room_left(engine_state& engine, core::time_point now)
    -> std::uint64_t
{
    auto used = this->room_used(engine, now);
    if (now < engine.unknown_until) {
        used += engine.unknown_bytes;
    }
    return used < this->pool.room_bytes ? this->pool.room_bytes - used : 0;
}

auto stage_queue::learn_room(engine_state& engine, std::uint64_t known_before,
                             std::uint64_t made, core::time_point now) -> void
{
    const auto explained = known_before + made;
    engine.unknown_bytes = explained < this->pool.room_bytes
                               ? this->pool.room_bytes - explained
                               : 0;
    engine.unknown_until = now + unknown_room_time;
}

auto stage_queue::idle_engines(core::time_point now)
    -> std::vector<engine_state*>
{
    auto idle = std::vector<engine_state*>();
    auto fast = std::size_t(0);
    for (auto& [id, engine] : this->engines) {
        if (engine.slowness < slow_ratio && !engine.health.is_ejected()) {
            ++fast;
        }
        if (engine.call == 0 && engine.blocked_until <= now &&
            engine.health.admits(0, now)) {
            idle.push_back(&engine);
        }
    }
    const auto is_pressed =
        this->waiting_pieces() > fast * 2 * this->pool.batch;
    if (!is_pressed && fast > 0) {
        std::erase_if(idle, [](const auto* engine) {
            return engine->slowness >= slow_ratio;
        });
    }
    std::stable_sort(idle.begin(), idle.end(),
                     [](const auto* left, const auto* right) {
                         return left->slowness < right->slowness;
                     });
    return idle;
}

auto stage_queue::next_call(core::time_point now) -> std::optional<stage_call>
{
    auto idle = this->idle_engines(now);
    if (idle.empty()) {
        return std::nullopt;
    }
    const auto works = this->order(now);
    if (works.empty()) {
        return std::nullopt;
    }
    // The most urgent work goes to its own zone if an upstream is idle there.
    const auto& zone = works.front()->work.zone;
    std::stable_partition(idle.begin(), idle.end(), [&zone](const auto* one) {
        return one->engine.zone == zone;
    });
    for (auto* engine : idle) {
        if (auto call = this->fill_call(*engine, works, idle, now)) {
            return call;
        }
    }
    return std::nullopt;
}

auto stage_queue::ends_at_home_in_time(const stage_work& work,
                                       std::size_t ahead,
                                       core::time_point now) const -> bool
{
    auto count = std::size_t(0);
    auto first_free = core::time_point::max();
    for (const auto& [id, engine] : this->engines) {
        if (engine.engine.zone == work.zone && engine.slowness < slow_ratio &&
            engine.blocked_until <= now && !engine.health.is_ejected()) {
            ++count;
            first_free = std::min(first_free, std::max(engine.busy_until, now));
        }
    }
    if (count == 0) {
        return false;
    }
    const auto pieces = ahead + work.items.size();
    const auto full_calls =
        std::ceil(double(pieces) / double(this->pool.batch * count));
    const auto end =
        first_free +
        as_duration(this->pool.call_time * full_calls +
                    this->pool.item_time * double(pieces) / double(count));
    return end - now <= (work.due - now) * home_wait_share;
}

auto stage_queue::fill_call(engine_state& engine,
                            const std::vector<const work_state*>& ordered,
                            const std::vector<engine_state*>& idle,
                            core::time_point now) -> std::optional<stage_call>
{
    const auto has_idle_at_home = [&](const stage_work& work) {
        return std::any_of(idle.begin(), idle.end(), [&](const auto* other) {
            return other != &engine && other->engine.zone == work.zone;
        });
    };
    auto room = this->room_left(engine, now);
    auto call = stage_call();
    auto carried = call_state();
    auto ahead = std::map<core::zone_name, std::size_t>();
    for (const auto* waiting : ordered) {
        auto& state = this->works[waiting->work.ticket];
        const auto is_home = state.work.zone == engine.engine.zone;
        if (!is_home && state.work.transfer_bytes >= large_transfer_bytes) {
            auto& at_home = ahead[state.work.zone];
            if (has_idle_at_home(state.work) ||
                this->ends_at_home_in_time(state.work, at_home, now)) {
                at_home += state.work.items.size();
                continue;
            }
        }
        for (auto index = std::size_t(0); index < state.pieces.size();
             ++index) {
            if (!state.pieces[index].is_waiting ||
                call.items.size() >= this->pool.batch ||
                room < state.work.result_bytes) {
                continue;
            }
            room -= state.work.result_bytes;
            state.pieces[index].is_waiting = false;
            ++state.pieces[index].calls;
            auto item = state.work.items[index];
            item.time_left = std::chrono::duration_cast<core::milliseconds>(
                state.work.deadline - now);
            call.items.push_back(std::move(item));
            carried.pieces.push_back({state.work.ticket, index});
        }
    }
    if (call.items.empty()) {
        return std::nullopt;
    }
    call.id = ++this->last_call;
    call.engine = engine.engine;
    const auto expected = std::chrono::duration_cast<core::duration>(
        this->call_time(call.items.size()) * std::max(engine.slowness, 1.0));
    call.expected_end = now + expected;
    carried.engine = engine.engine.id;
    carried.sent = now;
    carried.overdue =
        now +
        std::chrono::duration_cast<core::duration>(expected * overdue_factor) +
        overdue_slack;
    engine.call = call.id;
    engine.busy_until = call.expected_end;
    this->calls[call.id] = std::move(carried);
    return call;
}

auto stage_queue::take_call(std::uint64_t id, core::time_point now)
    -> std::optional<call_state>
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return std::nullopt;
    }
    auto taken = std::move(found->second);
    this->calls.erase(found);
    const auto engine = this->engines.find(taken.engine);
    if (engine != this->engines.end() && engine->second.call == id) {
        engine->second.call = 0;
        engine->second.busy_until = now;
    }
    for (const auto& ref : taken.pieces) {
        const auto work = this->works.find(ref.ticket);
        if (work != this->works.end()) {
            --work->second.pieces[ref.index].calls;
        }
    }
    return taken;
}

auto stage_queue::on_results(std::uint64_t call,
                             const std::vector<serving::stage_result>& results,
                             core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    const auto taken = this->take_call(call, now);
    if (!taken || taken->pieces.size() != results.size()) {
        return effects;
    }
    const auto engine = this->engines.find(taken->engine);
    auto known_before = std::uint64_t(0);
    auto made = std::uint64_t(0);
    auto lacks_room = false;
    if (engine != this->engines.end()) {
        auto& state = engine->second;
        known_before = this->room_used(state, now);
        const auto ratio =
            std::chrono::duration<double>(now - taken->sent) /
            std::chrono::duration<double>(this->call_time(results.size()));
        state.slowness += (ratio - state.slowness) * slowness_weight;
        static_cast<void>(
            state.health.on_success(now - taken->sent, core::duration(0), now));
    }
    for (auto index = std::size_t(0); index < results.size(); ++index) {
        const auto& ref = taken->pieces[index];
        const auto& result = results[index];
        const auto work = this->works.find(ref.ticket);
        const auto is_wanted = work != this->works.end() &&
                               work->second.pieces[ref.index].handle.empty();
        if (!result.handle.empty()) {
            const auto bytes =
                work == this->works.end() ? 0 : work->second.work.result_bytes;
            made += bytes;
            if (engine != this->engines.end()) {
                engine->second.results[result.handle] = {
                    bytes, now + std::chrono::duration_cast<core::duration>(
                                     this->pool.result_life)};
                this->holders[result.handle] = taken->engine;
            }
            if (is_wanted) {
                work->second.pieces[ref.index].handle = result.handle;
                work->second.pieces[ref.index].is_waiting = false;
                this->finish_if_done(ref.ticket, effects);
            } else {
                effects.unwanted.push_back(result.handle);
            }
            continue;
        }
        lacks_room =
            lacks_room || result.failure == serving::stage_failure::no_room;
        if (!is_wanted) {
            continue;
        }
        if (result.failure == serving::stage_failure::input_gone) {
            this->end_work(ref.ticket, stage_status::input_gone, effects);
            continue;
        }
        auto& piece = work->second.pieces[ref.index];
        piece.is_waiting = piece.calls == 0;
    }
    if (lacks_room && engine != this->engines.end()) {
        this->learn_room(engine->second, known_before, made, now);
    }
    return effects;
}

auto stage_queue::on_call_failed(std::uint64_t call, bool is_full,
                                 core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    const auto taken = this->take_call(call, now);
    if (!taken) {
        return effects;
    }
    const auto engine = this->engines.find(taken->engine);
    if (engine != this->engines.end()) {
        engine->second.blocked_until = now + full_pause;
        if (!is_full && engine->second.health.on_failure(now)) {
            engine->second.health.eject(now);
        }
    }
    for (const auto& ref : taken->pieces) {
        const auto work = this->works.find(ref.ticket);
        if (work != this->works.end()) {
            auto& piece = work->second.pieces[ref.index];
            piece.is_waiting = piece.handle.empty() && piece.calls == 0;
        }
    }
    return effects;
}

auto stage_queue::on_time(core::time_point now) -> stage_effects
{
    auto effects = stage_effects();
    auto over = std::vector<std::uint64_t>();
    for (const auto& [ticket, state] : this->works) {
        if (state.work.deadline <= now + this->call_time(1) / 2 &&
            std::any_of(state.pieces.begin(), state.pieces.end(),
                        [](const auto& piece) { return piece.is_waiting; })) {
            over.push_back(ticket);
        }
    }
    for (const auto ticket : over) {
        this->end_work(ticket, stage_status::refused, effects,
                       std::chrono::duration_cast<core::milliseconds>(
                           this->estimated_wait(now)));
    }
    for (auto& [id, call] : this->calls) {
        if (call.is_overdue || call.overdue > now) {
            continue;
        }
        call.is_overdue = true;
        const auto engine = this->engines.find(call.engine);
        if (engine != this->engines.end()) {
            engine->second.slowness =
                std::max(engine->second.slowness, slow_ratio * 1.5);
        }
        for (const auto& ref : call.pieces) {
            const auto work = this->works.find(ref.ticket);
            if (work != this->works.end() &&
                work->second.pieces[ref.index].handle.empty()) {
                work->second.pieces[ref.index].is_waiting = true;
            }
        }
    }
    return effects;
}

auto stage_queue::on_freed(const std::string& handle) -> void
{
    const auto holder = this->holders.find(handle);
    if (holder == this->holders.end()) {
        return;
    }
    const auto engine = this->engines.find(holder->second);
    if (engine != this->engines.end()) {
        engine->second.results.erase(handle);
    }
    this->holders.erase(holder);
}

auto stage_queue::finish_if_done(std::uint64_t ticket, stage_effects& effects)
    -> void
{
    const auto& pieces = this->works[ticket].pieces;
    const auto is_done =
        std::all_of(pieces.begin(), pieces.end(),
                    [](const auto& piece) { return !piece.handle.empty(); });
    if (!is_done) {
        return;
    }
    auto outcome = stage_outcome();
    outcome.ticket = ticket;
    for (const auto& piece : pieces) {
        outcome.handles.push_back(piece.handle);
    }
    effects.outcomes.push_back(std::move(outcome));
    this->works.erase(ticket);
}

auto stage_queue::end_work(std::uint64_t ticket, stage_status status,
                           stage_effects& effects,
                           core::milliseconds retry_after) -> void
{
    auto given_up = this->cancel(ticket);
    effects.unwanted.insert(effects.unwanted.end(), given_up.unwanted.begin(),
                            given_up.unwanted.end());
    auto outcome = stage_outcome();
    outcome.ticket = ticket;
    outcome.status = status;
    outcome.retry_after = retry_after;
    effects.outcomes.push_back(std::move(outcome));
}

} // namespace almondtiller::dispatch
