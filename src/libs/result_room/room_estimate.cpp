#include "result_room/room_estimate.h"

#include <algorithm>

namespace almondtiller::result_room {

auto room_estimate::drop_outdated(core::time_point now) -> void
{
    // The newest sample before the window holds at its beginning.
    while (this->known.size() > 1 && this->known[1].at <= now - report_lag) {
        this->known.pop_front();
    }
}

auto room_estimate::record_known(std::uint64_t bytes, core::time_point now)
    -> void
{
    this->drop_outdated(now);
    while (!this->known.empty() && this->known.back().bytes <= bytes) {
        this->known.pop_back();
    }
    this->known.push_back({bytes, now});
}

auto room_estimate::on_report(std::uint64_t used, core::time_point now) -> void
{
    this->drop_outdated(now);
    // The report may show any moment within the lag. With the largest sample,
    // results of this owner never count as unknown.
    const auto known_bytes =
        this->known.empty() ? std::uint64_t(0) : this->known.front().bytes;
    this->reported_bytes = used > known_bytes ? used - known_bytes : 0;
    this->reported_at = now;
    this->full_until = now;
    this->is_outdated = false;
}

auto room_estimate::on_rejected(core::time_point now) -> void
{
    this->full_until = now + report_interval;
    this->is_outdated = true;
}

auto room_estimate::on_short_of_room() -> void
{
    this->is_outdated = true;
}

auto room_estimate::unknown_bytes(core::duration result_life,
                                  core::time_point now) const -> std::uint64_t
{
    const auto age = now - this->reported_at;
    if (this->reported_bytes == 0 || age >= result_life) {
        return 0;
    }
    // Results end at any time within their life, as the ages of those that were
    // reported are unknown.
    const auto left = 1.0 - double(std::max(age, core::duration(0)).count()) /
                                double(result_life.count());
    return std::uint64_t(double(this->reported_bytes) * left);
}

auto room_estimate::is_full(core::time_point now) const -> bool
{
    return now < this->full_until;
}

auto room_estimate::wants_report(core::time_point now) const -> bool
{
    return this->is_outdated && now - this->requested_at >= report_interval;
}

auto room_estimate::on_requested(core::time_point now) -> void
{
    this->requested_at = now;
}

} // namespace almondtiller::result_room
