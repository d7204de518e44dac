#include "upstream_speed/service_speeds.h"

#include <algorithm>
#include <utility>

namespace almondtiller::upstream_speed {

namespace {

/// Interval between computations of the usual speed, the length of a bin.
constexpr auto update_interval = core::milliseconds(500);

/// \return The median of the values, the lower one of two; 1 for no values. Of
///         two upstreams the faster one is the usual one.
auto lower_median(std::vector<double> values) -> double
{
    if (values.empty()) {
        return 1.0;
    }
    const auto middle =
        values.begin() + std::ptrdiff_t((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

auto service_speeds::enable() -> void
{
    this->enabled = true;
}

auto service_speeds::is_enabled() const -> bool
{
    return this->enabled;
}

auto service_speeds::set_upstreams(const std::vector<upstream_key>& keys)
    -> void
{
    auto kept = std::vector<tracked_upstream>();
    kept.reserve(keys.size());
    for (const auto& key : keys) {
        const auto known = this->find(key.id);
        if (known && this->upstreams[*known].key == key) {
            kept.push_back(std::move(this->upstreams[*known]));
            // Ids of moved entries are searched for by the next keys.
            this->upstreams[*known].key = key;
        } else {
            kept.push_back({key, {}, {}});
        }
    }
    this->upstreams = std::move(kept);
}

auto service_speeds::find(const core::upstream_id& upstream) const
    -> std::optional<std::size_t>
{
    const auto found = std::lower_bound(
        this->upstreams.begin(), this->upstreams.end(), upstream,
        [](const auto& entry, const auto& id) { return entry.key.id < id; });
    if (found == this->upstreams.end() || found->key.id != upstream) {
        return std::nullopt;
    }
    return std::size_t(found - this->upstreams.begin());
}

auto service_speeds::at(std::size_t index) const -> const speed_estimate&
{
    return this->upstreams[index].speed;
}

auto service_speeds::record(std::size_t index, double ratio,
                            core::time_point now) -> void
{
    if (!this->enabled) {
        return;
    }
    this->upstreams[index].speed.record(ratio, now);
    if (now >= this->update_at) {
        this->update_usual(now);
    }
}

auto service_speeds::state(const core::upstream_id& upstream,
                           const statement& stated, core::time_point now)
    -> void
{
    const auto index = this->find(upstream);
    if (!this->enabled || !index || stated.at > now) {
        return;
    }
    this->upstreams[*index].speed.state(stated.factor, stated.at);
    this->observe(this->upstreams[*index], now);
}

auto service_speeds::update_usual(core::time_point now) -> void
{
    this->update_at = now + update_interval;
    auto measured = std::vector<double>();
    for (const auto& upstream : this->upstreams) {
        if (upstream.speed.is_known()) {
            measured.push_back(upstream.speed.measured());
        }
    }
    const auto usual = lower_median(std::move(measured));
    for (auto& upstream : this->upstreams) {
        upstream.speed.set_usual(usual);
        this->observe(upstream, now);
    }
}

auto service_speeds::observe(tracked_upstream& upstream, core::time_point now)
    -> void
{
    const auto& speed = upstream.speed;
    if (const auto changed = upstream.watch.update(speed, now)) {
        this->changes.push_back(
            {upstream.key.id, *changed, speed.slow_part(), speed.samples(),
             speed.stated() ? std::optional(speed.stated()->factor)
                            : std::nullopt});
    }
}

auto service_speeds::take_changes() -> std::vector<speed_change>
{
    return std::exchange(this->changes, {});
}

auto service_speeds::summary(core::time_point now) const -> speed_summary
{
    auto factors = std::vector<double>();
    for (const auto& upstream : this->upstreams) {
        factors.push_back(upstream.speed.slow_part() *
                          upstream.speed.quick_part(now));
    }
    if (!this->enabled || factors.empty()) {
        return {};
    }
    return {*std::max_element(factors.begin(), factors.end()),
            lower_median(factors)};
}

} // namespace almondtiller::upstream_speed
