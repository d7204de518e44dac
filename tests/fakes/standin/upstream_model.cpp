#include "standin/upstream_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace almondtiller::standin {

namespace {

/// Slowdown of every member of a batch by each other one.
constexpr auto batch_slope = 0.01;
/// A caller that was told of the cold state has this long to react.
constexpr auto reaction_time = milliseconds(50);
constexpr auto max_samples = std::size_t(4096);

auto to_duration(double time_ms) -> core::duration
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(time_ms));
}

} // namespace

upstream_model::upstream_model(const core::runtime_clock& clock,
                               upstream_options options, journal& record)
    : clock(clock),
      options(std::move(options)),
      record(record),
      random(this->options.seed),
      cold(this->options.starts_cold)
{
    this->sample();
}

auto upstream_model::draw() -> double
{
    return this->random.unit();
}

auto upstream_model::name_of_state() const -> std::string
{
    return this->cold ? "cold" : "warm";
}

auto upstream_model::write(const attempt_info& info, const std::string& event)
    -> void
{
    this->record.write({{"event", event},
                        {"attempt", info.attempt},
                        {"request", info.request},
                        {"workspace", info.workspace},
                        {"key", info.key},
                        {"in_flight", this->attempts.size()},
                        {"state", this->name_of_state()},
                        {"cold_in_flight", this->cold_in_flight()},
                        {"cold_capacity", this->options.cold_capacity},
                        {"over_cold", this->is_over_cold_capacity()},
                        {"epoch", this->epoch}});
}

auto upstream_model::cold_in_flight() const -> std::size_t
{
    return std::size_t(std::count_if(
        this->attempts.begin(), this->attempts.end(),
        [this](const auto& one) { return one.second.turn == this->turn; }));
}

auto upstream_model::is_over_cold_capacity() const -> bool
{
    const auto in_force = this->told_cold == core::time_point::min() ||
                          (this->told_cold != core::time_point::max() &&
                           this->clock.now() > this->told_cold + reaction_time);
    return this->cold && in_force &&
           this->cold_in_flight() > this->options.cold_capacity;
}

auto upstream_model::sample() -> void
{
    const auto now = this->clock.now();
    this->samples.push_back(
        {now, this->options.incarnation_prefix + std::to_string(this->epoch),
         this->name_of_state(), std::uint32_t(this->attempts.size()),
         this->queued});
    while (this->samples.size() > max_samples) {
        this->samples.pop_front();
    }
}

auto upstream_model::become_cold() -> void
{
    this->cold = true;
    this->completions = 0;
    this->cached.clear();
}

auto upstream_model::fall_over() -> void
{
    ++this->epoch;
    this->become_cold();
    this->told_cold = core::time_point::min();
    this->fallen_until = this->clock.now() + this->options.fall_time;
    this->record.write({{"event", "fell"}, {"epoch", this->epoch}});
    this->changed.notify_all();
}

auto upstream_model::admit(const attempt_info& info) -> admission
{
    auto lock = std::unique_lock(this->mutex);
    const auto is_down = [this] {
        return this->clock.now() < this->fallen_until ||
               this->fault.mode == "refuse";
    };
    const auto has_slot = [this] {
        return this->attempts.size() < this->options.capacity;
    };
    const auto is_full =
        !has_slot() && this->queued >= this->options.queue_limit;
    if (is_down() || is_full) {
        this->write(info, "refused");
        return admission::refused;
    }
    ++this->queued;
    constexpr auto longest_queueing = std::chrono::seconds(30);
    this->clock.wait_until(lock, this->changed,
                           this->clock.now() + longest_queueing,
                           [&] { return is_down() || has_slot(); });
    --this->queued;
    if (is_down() || !has_slot()) {
        this->write(info, "refused");
        return admission::refused;
    }
    this->attempts.insert_or_assign(info.attempt,
                                    running{this->epoch, this->turn, false});
    this->write(info, "start");
    this->sample();
    if (this->is_over_cold_capacity()) {
        this->fall_over();
    }
    return admission::started;
}

auto upstream_model::spend(const attempt_info& info, double time_ms) -> wait_end
{
    auto lock = std::unique_lock(this->mutex);
    auto scale = 1.0 + batch_slope * double(this->attempts.size());
    scale *= this->cold ? this->options.cold_factor : 1.0;
    scale *= this->fault.mode == "slow" ? this->fault.factor : 1.0;
    const auto until = this->clock.now() + to_duration(time_ms * scale);
    const auto ended = [&] {
        const auto found = this->attempts.find(info.attempt);
        return found == this->attempts.end() || found->second.cancelled ||
               found->second.epoch != this->epoch;
    };
    if (time_ms > 0.0) {
        this->clock.wait_until(lock, this->changed, until, ended);
    }
    const auto found = this->attempts.find(info.attempt);
    if (found == this->attempts.end() || found->second.epoch != this->epoch) {
        return wait_end::failed;
    }
    return found->second.cancelled ? wait_end::cancelled : wait_end::elapsed;
}

auto upstream_model::finish(const attempt_info& info, const std::string& event)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    const auto found = this->attempts.find(info.attempt);
    const auto same_epoch =
        found != this->attempts.end() && found->second.epoch == this->epoch;
    if (found != this->attempts.end()) {
        this->attempts.erase(found);
    }
    if (event == "end" && same_epoch && this->cold &&
        ++this->completions >= this->options.warm_completions) {
        this->cold = false;
    }
    if (this->cold && this->told_cold == core::time_point::max()) {
        this->told_cold = this->clock.now();
    }
    this->write(info, event);
    this->sample();
    this->changed.notify_all();
}

auto upstream_model::cancel(const std::string& attempt) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end()) {
        found->second.cancelled = true;
        this->changed.notify_all();
    }
}

auto upstream_model::turn_cold() -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->become_cold();
    ++this->turn;
    this->told_cold = core::time_point::max();
    this->record.write({{"event", "turned_cold"},
                        {"in_flight", this->attempts.size()},
                        {"epoch", this->epoch}});
    this->sample();
}

auto upstream_model::set_fault(upstream_fault wanted) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->fault = std::move(wanted);
    this->record.write({{"event", "fault"}, {"mode", this->fault.mode}});
    this->changed.notify_all();
}

auto upstream_model::strikes(const std::string& mode) -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return this->fault.mode == mode && this->draw() < this->fault.probability;
}

auto upstream_model::service_time_ms() -> double
{
    const auto guard = std::lock_guard(this->mutex);
    const auto spread = this->options.service_spread;
    const auto offset = spread * (2.0 * this->draw() - 1.0);
    return this->options.service_ms * (1.0 + offset);
}

auto upstream_model::prefill_time_ms(const std::string& prefix_hash) -> double
{
    const auto guard = std::lock_guard(this->mutex);
    const auto found =
        std::find(this->cached.begin(), this->cached.end(), prefix_hash);
    const auto is_cached = found != this->cached.end();
    if (is_cached) {
        this->cached.erase(found);
    } else {
        this->add_cache_event(true, prefix_hash);
    }
    this->cached.push_back(prefix_hash);
    if (this->cached.size() > this->options.cache_entries) {
        this->add_cache_event(false, this->cached.front());
        this->cached.pop_front();
    }
    return is_cached ? 0.0 : this->options.prefill_ms;
}

auto upstream_model::add_cache_event(bool stored, const std::string& hash)
    -> void
{
    ++this->cache_sequence;
    if (this->draw() >= this->options.cache_loss) {
        this->cache_events.push_back(
            {this->cache_sequence, this->clock.now() + this->options.cache_lag,
             stored, hash});
    }
}

auto upstream_model::incarnation() const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    return this->options.incarnation_prefix + std::to_string(this->epoch);
}

auto upstream_model::state_name() const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    return this->name_of_state();
}

auto upstream_model::lagged_load() const -> load_sample
{
    const auto guard = std::lock_guard(this->mutex);
    const auto limit = this->clock.now() - this->options.report_lag;
    auto best = this->samples.front();
    for (const auto& one : this->samples) {
        if (one.taken > limit) {
            break;
        }
        best = one;
    }
    return best;
}

auto upstream_model::visible_cache_events(std::uint64_t after) const
    -> std::vector<cache_event>
{
    const auto guard = std::lock_guard(this->mutex);
    const auto now = this->clock.now();
    auto visible = std::vector<cache_event>();
    for (const auto& event : this->cache_events) {
        if (event.sequence > after && event.visible <= now) {
            visible.push_back(event);
        }
    }
    return visible;
}

} // namespace almondtiller::standin
