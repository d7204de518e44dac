#include "routing/pool_scheduler.h"

#include "routing/routing_errc.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace almondtiller::routing {

/// First version: a bounded queue in order of arrival, least in flight.
struct pool_scheduler::state
{
    settings::pool_settings settings;
    core::zone_name local_zone;
    std::vector<upstream_member> members;
    std::map<core::upstream_id, std::uint32_t> in_flight;
    std::deque<work> queue;

    auto choose(const work& wanted) -> const upstream_member*
    {
        const upstream_member* best = nullptr;
        for (const auto& member : this->members) {
            const auto load = this->in_flight[member.id];
            if (!member.accepts_work ||
                load >= this->settings.max_concurrency ||
                std::ranges::find(wanted.excluded, member.id) !=
                    wanted.excluded.end()) {
                continue;
            }
            if (best == nullptr || load < this->in_flight[best->id]) {
                best = &member;
            }
        }
        return best;
    }

    auto drain(core::time_point now) -> actions
    {
        auto taken = actions();
        while (!this->queue.empty()) {
            auto& next = this->queue.front();
            if (next.deadline <= now) {
                taken.emplace_back(
                    refusal{next.id, routing_errc::deadline_passed, {}});
                this->queue.pop_front();
                continue;
            }
            const auto* chosen = this->choose(next);
            if (chosen == nullptr) {
                break;
            }
            ++this->in_flight[chosen->id];
            taken.emplace_back(dispatch{next.id, chosen->id, false});
            this->queue.pop_front();
        }
        return taken;
    }
};

pool_scheduler::pool_scheduler(settings::pool_settings settings,
                               core::zone_name local_zone, std::uint64_t seed)
    : data(std::make_unique<state>())
{
    static_cast<void>(seed);
    this->data->settings = std::move(settings);
    this->data->local_zone = std::move(local_zone);
}

pool_scheduler::~pool_scheduler() = default;
pool_scheduler::pool_scheduler(pool_scheduler&&) noexcept = default;
auto pool_scheduler::operator=(pool_scheduler&&) noexcept
    -> pool_scheduler& = default;

auto pool_scheduler::configure(settings::pool_settings settings,
                               core::time_point now) -> actions
{
    this->data->settings = std::move(settings);
    return this->data->drain(now);
}

auto pool_scheduler::set_members(std::vector<upstream_member> members,
                                 core::time_point now) -> actions
{
    this->data->members = std::move(members);
    return this->data->drain(now);
}

auto pool_scheduler::submit(work submitted, core::time_point now) -> actions
{
    if (this->data->queue.size() >= this->data->settings.queue_limit) {
        return {refusal{submitted.id, routing_errc::queue_full, {}}};
    }
    this->data->queue.push_back(std::move(submitted));
    return this->data->drain(now);
}

auto pool_scheduler::withdraw(const core::attempt_id& id, core::time_point now)
    -> actions
{
    const auto erased = std::erase_if(
        this->data->queue, [&id](const work& item) { return item.id == id; });
    auto taken = this->data->drain(now);
    if (erased > 0) {
        taken.emplace_back(refusal{id, routing_errc::withdrawn, {}});
    }
    return taken;
}

auto pool_scheduler::finish(const attempt_result& result, core::time_point now)
    -> actions
{
    auto& load = this->data->in_flight[result.upstream];
    load = load > 0 ? load - 1 : 0;
    return this->data->drain(now);
}

auto pool_scheduler::report_load(const load_report& report,
                                 core::time_point now) -> actions
{
    static_cast<void>(report);
    return this->data->drain(now);
}

auto pool_scheduler::grant_cold_slots(const cold_grant& grant,
                                      core::time_point now) -> actions
{
    static_cast<void>(grant);
    return this->data->drain(now);
}

auto pool_scheduler::advance(core::time_point now) -> actions
{
    return this->data->drain(now);
}

auto pool_scheduler::next_timer() const -> std::optional<core::time_point>
{
    if (this->data->queue.empty()) {
        return std::nullopt;
    }
    return this->data->queue.front().deadline;
}

auto pool_scheduler::cold_demand() const
    -> std::map<core::upstream_id, std::uint32_t>
{
    return {};
}

auto pool_scheduler::estimate(double quantile) const -> core::duration
{
    static_cast<void>(quantile);
    return {};
}

} // namespace almondtiller::routing
