#include "orders/lease_keeper.h"

#include "platform/platform_errc.h"

#include <utility>

namespace almondtiller::orders {

using platform::platform_errc;

namespace {

/// Number of renewals by the holder, or of reads by another node, within one
/// lease duration.
constexpr auto calls_per_duration = 3;

} // namespace

lease_keeper::lease_keeper(std::string node, std::uint64_t incarnation,
                           lease_timing timing)
    : node(std::move(node)), incarnation(incarnation), timing(timing)
{}

auto lease_keeper::set_candidate(bool is_candidate) -> void
{
    this->is_candidate = is_candidate;
}

auto lease_keeper::advance(core::time_point now) -> lease_actions
{
    if (this->held && this->held->valid_until <= now) {
        this->lose();
    }
    if (this->is_reading || this->writing || this->next_call > now) {
        return {};
    }
    if (this->held && !this->unsettled) {
        return now >= this->held->renew_at ? this->renew(now) : lease_actions();
    }
    if (!this->is_candidate && !this->held) {
        return {};
    }
    this->is_reading = true;
    return {read_lease{}};
}

auto lease_keeper::was_read(
    const core::result<std::pair<std::uint64_t, lease_value>>& read,
    core::time_point now) -> lease_actions
{
    this->is_reading = false;
    this->next_call = now + this->timing.duration / calls_per_duration;
    if (!read && read.error() != platform_errc::not_found) {
        return {};
    }
    if (read) {
        this->observe(read.value().first, read.value().second, now);
    } else {
        this->has_observed = true;
        this->version.reset();
        this->seen = lease_value();
    }
    const auto lost = std::exchange(this->unsettled, std::nullopt);
    if (lost && lost->value == this->seen) {
        this->take_hold(*lost, now);
        return {};
    }
    if (this->held) {
        const auto is_ours = this->seen.holder == this->node &&
                             this->seen.incarnation == this->incarnation;
        if (!is_ours) {
            this->lose();
            return {};
        }
        return this->renew(now);
    }
    return this->try_to_acquire(now);
}

auto lease_keeper::was_written(const core::result<std::uint64_t>& written,
                               core::time_point now) -> lease_actions
{
    const auto write = std::exchange(this->writing, std::nullopt);
    if (!write) {
        return {};
    }
    if (written) {
        this->observe(written.value(), write->value, now);
        if (write->value.holder.empty()) {
            this->lose();
        } else {
            this->take_hold(*write, now);
        }
        return {};
    }
    const auto error = written.error();
    if (error == platform_errc::version_conflict ||
        error == platform_errc::already_exists ||
        error == platform_errc::not_found) {
        this->lose();
        return {};
    }
    if (error == platform_errc::outcome_unknown ||
        error == platform_errc::malformed_answer) {
        this->unsettled = write;
        this->next_call = now;
        return {};
    }
    this->next_call = now + this->timing.duration / (2 * calls_per_duration);
    return {};
}

auto lease_keeper::release(core::time_point now) -> lease_actions
{
    this->is_candidate = false;
    const auto is_ours = this->held && this->held->valid_until > now;
    this->held.reset();
    if (!is_ours || this->writing) {
        return {};
    }
    auto value = this->seen;
    value.holder.clear();
    ++value.renewal;
    return this->send(value, true, now);
}

auto lease_keeper::may_order(core::time_point now) const
    -> std::optional<std::uint64_t>
{
    if (!this->held || now < this->held->orders_from) {
        return std::nullopt;
    }
    if (now + this->timing.longest_order + this->timing.margin >=
        this->held->valid_until) {
        return std::nullopt;
    }
    return this->seen.fencing;
}

auto lease_keeper::is_holder(core::time_point now) const -> bool
{
    return this->held && now < this->held->valid_until;
}

auto lease_keeper::last_seen() const -> const lease_value&
{
    return this->seen;
}

auto lease_keeper::observe(std::uint64_t version, const lease_value& value,
                           core::time_point now) -> void
{
    if (!this->has_observed || this->version != version) {
        this->first_seen_at = now;
    }
    this->has_observed = true;
    this->version = version;
    this->seen = value;
}

auto lease_keeper::is_free() const -> bool
{
    return !this->version || this->seen.holder.empty();
}

auto lease_keeper::is_expired(core::time_point now) const -> bool
{
    const auto duration = core::milliseconds(this->seen.duration_ms);
    return now >= this->first_seen_at + duration + this->timing.margin;
}

auto lease_keeper::try_to_acquire(core::time_point now) -> lease_actions
{
    if (!this->is_candidate || (!this->is_free() && !this->is_expired(now))) {
        return {};
    }
    auto value = lease_value();
    value.holder = this->node;
    value.incarnation = this->incarnation;
    value.fencing = this->seen.fencing + 1;
    value.renewal = this->seen.renewal + 1;
    value.duration_ms = std::uint64_t(
        std::chrono::duration_cast<core::milliseconds>(this->timing.duration)
            .count());
    return this->send(value, this->is_free(), now);
}

auto lease_keeper::renew(core::time_point now) -> lease_actions
{
    auto value = this->seen;
    ++value.renewal;
    return this->send(value, true, now);
}

auto lease_keeper::send(const lease_value& value, bool was_free,
                        core::time_point now) -> lease_actions
{
    this->writing = write_under_way{value, now, was_free};
    return {write_lease{this->version, value}};
}

auto lease_keeper::take_hold(const write_under_way& write, core::time_point now)
    -> void
{
    const auto valid_until =
        write.sent_at + this->timing.duration - this->timing.margin;
    if (valid_until <= now) {
        this->lose();
        return;
    }
    const auto orders_from = this->held ? this->held->orders_from
                             : write.was_free
                                 ? now
                                 : now + this->timing.longest_order;
    this->held =
        holding{valid_until, orders_from,
                write.sent_at + this->timing.duration / calls_per_duration};
    this->next_call = now;
}

auto lease_keeper::lose() -> void
{
    this->held.reset();
    this->has_observed = false;
    this->unsettled.reset();
}

} // namespace almondtiller::orders
