#include "services/rollout/traffic_counts.h"

#include <algorithm>

namespace almondtiller::rollout {

namespace {

constexpr auto first_server_error = 500;
/// An answer is slow if it takes this many times as long as nine in ten answers
/// of old upstreams.
constexpr auto slow_factor = 2;
constexpr auto usual_share = 0.9;
/// Answers of old upstreams from which their usual duration is known.
constexpr auto min_old_samples = std::uint64_t(20);
/// Events from which a stream is measured by the time between events.
constexpr auto min_events = std::uint64_t(3);

} // namespace

traffic_counts::traffic_counts(
    std::function<void(const serving::service_name&)> on_bad_answer)
    : notify_bad(std::move(on_bad_answer))
{}

auto traffic_counts::set_bad_answer_hook(
    std::function<void(const serving::service_name&)> hook) -> void
{
    this->notify_bad = std::move(hook);
}

auto traffic_counts::track(const order& started) -> void
{
    auto& known = this->orders[started.service];
    if (known.order != started) {
        known = order_counts();
        known.order = started;
    }
}

auto traffic_counts::remove(const serving::service_name& service) -> void
{
    this->orders.erase(service);
}

auto traffic_counts::find(const serving::service_name& service) const
    -> const order_counts*
{
    const auto found = this->orders.find(service);
    return found == this->orders.end() ? nullptr : &found->second;
}

auto traffic_counts::open_at_old(const order& current) const -> std::uint32_t
{
    auto total = std::uint32_t(0);
    for (const auto& [key, count] : this->open) {
        if (key.service == current.service && key.version != current.to) {
            total += count;
        }
    }
    return total;
}

auto traffic_counts::begin(const serving::upstream& upstream, std::string route,
                           bool is_cold, core::time_point now)
    -> std::shared_ptr<attempt_record>
{
    ++this->open[{upstream.service, upstream.version}];
    auto current = std::optional<order>();
    auto is_new = false;
    const auto found = this->orders.find(upstream.service);
    if (found != this->orders.end()) {
        current = found->second.order;
        is_new = upstream.version == current->to;
        ++found->second.sent;
        found->second.sent_new += is_new ? 1 : 0;
    }
    return std::make_shared<attempt_record>(
        this->shared_from_this(), upstream, std::move(current),
        sample_key{std::move(route), upstream.zone, is_new}, is_cold, now);
}

auto traffic_counts::close(const open_key& key) -> void
{
    const auto found = this->open.find(key);
    if (found != this->open.end() && --found->second == 0) {
        this->open.erase(found);
    }
}

auto traffic_counts::is_slow(const order_counts& known,
                             const finished_attempt& attempt) -> bool
{
    if (!attempt.duration) {
        return false;
    }
    auto old = duration_histogram();
    for (const auto& [key, counted] : known.counts) {
        if (key.is_new || key.route != attempt.key.route) {
            continue;
        }
        for (auto at = std::size_t(0); at < duration_histogram::bucket_count;
             ++at) {
            old.add(at, counted.durations.count_at(at));
        }
    }
    return old.total() >= min_old_samples &&
           *attempt.duration > old.quantile(usual_share) * slow_factor;
}

auto traffic_counts::record(const finished_attempt& attempt) -> void
{
    const auto found = this->orders.find(attempt.order.service);
    if (found == this->orders.end() || found->second.order != attempt.order) {
        return;
    }
    auto& counted = found->second.counts[attempt.key];
    ++counted.answered;
    counted.failed += attempt.has_failed ? 1 : 0;
    counted.lifetimes.record(attempt.lifetime);
    if (attempt.duration && !attempt.has_failed) {
        counted.durations.record(*attempt.duration);
    }
    if (attempt.key.is_new && this->notify_bad &&
        (attempt.has_failed || is_slow(found->second, attempt))) {
        this->notify_bad(attempt.order.service);
    }
}

attempt_record::attempt_record(std::shared_ptr<traffic_counts> owner,
                               const serving::upstream& sent_to,
                               std::optional<rollout::order> current,
                               sample_key sample, bool cold,
                               core::time_point now)
    : counts(std::move(owner)),
      open_as{sent_to.service, sent_to.version},
      order(std::move(current)),
      key(std::move(sample)),
      is_cold(cold),
      sent_at(now)
{}

attempt_record::~attempt_record()
{
    this->counts->close(this->open_as);
}

auto attempt_record::on_events(std::uint64_t count, core::time_point now)
    -> void
{
    if (count == 0) {
        return;
    }
    if (this->events == 0) {
        this->first_event = now;
    }
    this->last_event = now;
    this->events += count;
}

auto attempt_record::on_answer(int status, core::time_point now) -> void
{
    this->finish(status >= first_server_error, now);
}

auto attempt_record::on_given_up(core::time_point now) -> void
{
    const auto since_event =
        this->events == 0 ? core::duration(0) : now - this->last_event;
    this->finish(false, now, since_event);
}

auto attempt_record::duration_at(core::time_point now) const -> core::duration
{
    return this->events >= min_events ? (this->last_event - this->first_event) /
                                            std::int64_t(this->events - 1)
                                      : now - this->sent_at;
}

auto attempt_record::finish(bool has_failed, core::time_point now,
                            core::duration least) -> void
{
    if (!this->order || std::exchange(this->is_recorded, true)) {
        return;
    }
    const auto duration =
        this->is_cold ? std::optional<core::duration>()
                      : std::optional(std::max(this->duration_at(now), least));
    this->counts->record(
        {*this->order, this->key, has_failed, duration, now - this->sent_at});
}

} // namespace almondtiller::rollout
