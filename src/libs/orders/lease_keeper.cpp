#include "orders/lease_keeper.h"

#include "platform/platform_errc.h"

#include <utility>

namespace almondtiller::orders {

using platform::platform_errc;

namespace {

/// Number of renewals by the holder, or of reads by another node, within one
/// lease duration.
constexpr auto calls_per_lease_duration = 3;

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
        this->drop_lease();
    }
    if (this->is_reading || this->writing || this->next_call > now) {
        return {};
    }
    if (this->held && !this->unconfirmed_write) {
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
    this->next_call = now + this->timing.duration / calls_per_lease_duration;
    if (!read && read.error() != platform_errc::not_found) {
        return {};
    }
    if (read) {
        this->observe(read.value().first, read.value().second, now);
    } else {
        this->has_observed = true;
        this->version.reset();
        this->observed = lease_value();
    }
    const auto unconfirmed =
        std::exchange(this->unconfirmed_write, std::nullopt);
    if (unconfirmed && unconfirmed->value == this->observed) {
        this->confirm_lease(*unconfirmed, now);
        return {};
    }
    if (this->held) {
        const auto is_own_lease =
            this->observed.holder == this->node &&
            this->observed.incarnation == this->incarnation;
        if (!is_own_lease) {
            this->drop_lease();
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
            this->drop_lease();
        } else {
            this->confirm_lease(*write, now);
        }
        return {};
    }
    const auto error = written.error();
    if (error == platform_errc::version_conflict ||
        error == platform_errc::already_exists ||
        error == platform_errc::not_found) {
        this->drop_lease();
        return {};
    }
    if (error == platform_errc::outcome_unknown ||
        error == platform_errc::malformed_answer) {
        this->unconfirmed_write = write;
        this->next_call = now;
        return {};
    }
    this->next_call =
        now + this->timing.duration / (2 * calls_per_lease_duration);
    return {};
}

auto lease_keeper::release(core::time_point now) -> lease_actions
{
    this->is_candidate = false;
    const auto is_own_lease = this->held && this->held->valid_until > now;
    this->held.reset();
    if (!is_own_lease || this->writing) {
        return {};
    }
    auto value = this->observed;
    value.holder.clear();
    ++value.renewal;
    return this->send(value, true, now);
}

auto lease_keeper::may_order(core::time_point now) const
    -> std::optional<std::uint64_t>
{
    if (!this->held || now < this->held->orders_allowed_from) {
        return std::nullopt;
    }
    if (now + this->timing.longest_order + this->timing.margin >=
        this->held->valid_until) {
        return std::nullopt;
    }
    return this->observed.fencing;
}

auto lease_keeper::is_holder(core::time_point now) const -> bool
{
    return this->held && now < this->held->valid_until;
}

auto lease_keeper::last_seen() const -> const lease_value&
{
    return this->observed;
}

auto lease_keeper::observe(std::uint64_t version, const lease_value& value,
                           core::time_point now) -> void
{
    if (!this->has_observed || this->version != version) {
        this->first_observed_at = now;
    }
    this->has_observed = true;
    this->version = version;
    this->observed = value;
}

auto lease_keeper::is_free() const -> bool
{
    return !this->version || this->observed.holder.empty();
}

auto lease_keeper::is_expired(core::time_point now) const -> bool
{
    const auto duration = core::milliseconds(this->observed.duration_ms);
    return now >= this->first_observed_at + duration + this->timing.margin;
}

auto lease_keeper::try_to_acquire(core::time_point now) -> lease_actions
{
    if (!this->is_candidate || (!this->is_free() && !this->is_expired(now))) {
        return {};
    }
    auto value = lease_value();
    value.holder = this->node;
    value.incarnation = this->incarnation;
    value.fencing = this->observed.fencing + 1;
    value.renewal = this->observed.renewal + 1;
    value.duration_ms = std::uint64_t(
        std::chrono::duration_cast<core::milliseconds>(this->timing.duration)
            .count());
    return this->send(value, this->is_free(), now);
}

auto lease_keeper::renew(core::time_point now) -> lease_actions
{
    auto value = this->observed;
    ++value.renewal;
    return this->send(value, true, now);
}

auto lease_keeper::send(const lease_value& value, bool was_free,
                        core::time_point now) -> lease_actions
{
    this->writing = write_in_flight{value, now, was_free};
    return {write_lease{this->version, value}};
}

auto lease_keeper::confirm_lease(const write_in_flight& write,
                                 core::time_point now) -> void
{
    const auto valid_until =
        write.sent_at + this->timing.duration - this->timing.margin;
    if (valid_until <= now) {
        this->drop_lease();
        return;
    }
    const auto orders_allowed_from =
        this->held       ? this->held->orders_allowed_from
        : write.was_free ? now
                         : now + this->timing.longest_order;
    this->held = held_lease{valid_until, orders_allowed_from,
                            write.sent_at + this->timing.duration /
                                                calls_per_lease_duration};
    this->next_call = now;
}

auto lease_keeper::drop_lease() -> void
{
    this->held.reset();
    this->has_observed = false;
    this->unconfirmed_write.reset();
}

} // namespace almondtiller::orders
