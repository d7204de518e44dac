// Time to warm 20 cold upstreams from 6 nodes, with granted slots and with
// static shares, over the pure machines. Usage: cold_starts_bench

#include "routing/cold_client.h"
#include "routing/cold_slot_coordinator.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

namespace {

using namespace almondtiller;
using core::milliseconds;

constexpr auto node_count = 6;
constexpr auto upstream_count = 20;
constexpr auto completions_to_warm = 8;
constexpr auto attempt_length = milliseconds(200);
constexpr auto message_delay = milliseconds(1);
constexpr auto poll_interval = 20;
constexpr auto step = milliseconds(1);
constexpr auto give_up_after = std::chrono::seconds(60);
const auto start = core::time_point(std::chrono::hours(1));
const auto pool = core::pool_name("pool");

struct upstream
{
    core::upstream_id id;
    int completed = 0;
    std::size_t in_flight = 0;
    std::size_t most = 0;

    [[nodiscard]] auto is_warm() const -> bool
    {
        return this->completed >= completions_to_warm;
    }
};

struct node
{
    core::node_id id;
    routing::cold_slot_coordinator coordinator;
    routing::cold_client client;
    std::map<core::upstream_id, routing::cold_grant> grants;
    std::map<core::upstream_id, std::vector<core::time_point>> attempts;
};

struct outcome
{
    double seconds;
    std::size_t most_in_flight;
};

class fleet
{
public:
    /// \param share Slots of each node at each upstream; grants when absent.
    fleet(std::uint32_t capacity, std::optional<std::uint32_t> share)
        : capacity(capacity), share(share)
    {
        auto view = routing::member_view();
        for (auto index = 0; index < node_count; ++index) {
            view.members.emplace_back("node" + std::to_string(index));
        }
        for (const auto& id : view.members) {
            this->nodes.push_back({id, {id, {}, start}, {id, 1, {}}, {}, {}});
            this->nodes.back().coordinator.set_view(view, start);
            this->nodes.back().client.set_view(view);
        }
        for (auto index = 0; index < upstream_count; ++index) {
            this->upstreams.push_back(
                {core::upstream_id("u" + std::to_string(index))});
        }
        this->settle();
    }

    auto run() -> outcome
    {
        const auto began = this->now;
        const auto is_warm = [](const upstream& of) {
            return of.is_warm();
        };
        while (!std::ranges::all_of(this->upstreams, is_warm) &&
               this->now < began + give_up_after) {
            this->now += step;
            this->advance();
        }
        const auto took = std::chrono::duration<double>(this->now - began);
        const auto most =
            std::ranges::max(this->upstreams, {}, &upstream::most).most;
        return {took.count(), most};
    }

private:
    /// Advances the time until the coordinators, which are new, grant slots.
    auto settle() -> void
    {
        for (this->now = start; this->now < start + std::chrono::seconds(6);
             this->now += step) {
            for (auto& of : this->nodes) {
                of.coordinator.tick(this->now);
            }
        }
    }

    auto advance() -> void
    {
        while (!this->network.empty() &&
               this->network.begin()->first <= this->now) {
            const auto message = this->network.begin()->second;
            this->network.erase(this->network.begin());
            message();
        }
        for (auto index = std::size_t(0); index < this->nodes.size(); ++index) {
            auto& of = this->nodes[index];
            of.coordinator.tick(this->now);
            this->finish(of);
            if (!this->share.has_value() &&
                (this->ticks + int(index) * 3) % poll_interval == 0) {
                this->poll(of);
            }
            this->dispatch(of);
        }
        ++this->ticks;
    }

    auto finish(node& of) -> void
    {
        for (auto& target : this->upstreams) {
            const auto ended =
                std::erase_if(of.attempts[target.id], [this](const auto end) {
                    return end <= this->now;
                });
            target.completed += int(ended);
            target.in_flight -= ended;
        }
    }

    auto dispatch(node& of) -> void
    {
        for (auto& target : this->upstreams) {
            auto& attempts = of.attempts[target.id];
            const auto& grant = of.grants[target.id];
            const auto granted = this->now < grant.expires ? grant.slots : 0;
            const auto slots = this->share.value_or(granted);
            while (!target.is_warm() && attempts.size() < slots) {
                attempts.push_back(this->now + attempt_length);
                ++target.in_flight;
                target.most = std::max(target.most, target.in_flight);
            }
        }
    }

    auto poll(node& of) -> void
    {
        auto demands = std::vector<routing::cold_client::slot_demand>();
        for (const auto& target : this->upstreams) {
            if (!target.is_warm()) {
                const auto load = std::uint32_t(of.attempts[target.id].size());
                demands.push_back(
                    {pool, {target.id, "", this->capacity, load}});
            }
        }
        const auto planned = of.client.poll(demands, this->now);
        for (const auto& change : planned.grants) {
            of.grants[change.grant.id] = change.grant;
        }
        for (const auto& request : planned.requests) {
            this->send_request(of, request);
        }
    }

    auto send_request(node& holder,
                      const routing::cold_client::request& request) -> void
    {
        auto& coordinator =
            *std::ranges::find(this->nodes, request.target, &node::id);
        const auto requested = request.slot_request;
        this->network.emplace(
            this->now + message_delay,
            [this, &holder, &coordinator, requested] {
                const auto response = coordinator.coordinator.handle_request(
                    holder.id, requested, this->capacity, this->now);
                this->network.emplace(
                    this->now + message_delay,
                    [this, &holder, &coordinator, response] {
                        const auto taken = holder.client.on_response(
                            coordinator.id, response, this->now);
                        if (const auto* change =
                                std::get_if<routing::cold_client::grant_change>(
                                    &taken)) {
                            holder.grants[response.id] = change->grant;
                        }
                    });
            });
    }

    std::uint32_t capacity;
    std::optional<std::uint32_t> share;
    core::time_point now = start;
    int ticks = 0;
    std::vector<node> nodes;
    std::vector<upstream> upstreams;
    std::multimap<core::time_point, std::function<void()>> network;
};

auto print(const char* name, std::uint32_t capacity, const outcome& found)
    -> void
{
    std::printf("%-28s %8u %12.2f %12zu\n", name, capacity, found.seconds,
                found.most_in_flight);
}

} // namespace

auto main() -> int
{
    std::printf("%-28s %8s %12s %12s\n", "way", "capacity", "seconds",
                "most at one");
    for (const auto capacity : {1U, 2U, 4U, 12U}) {
        const auto whole = capacity / node_count;
        print("granted slots", capacity, fleet(capacity, {}).run());
        print("static share, rounded down", capacity,
              fleet(capacity, whole).run());
        print("static share, at least 1", capacity,
              fleet(capacity, std::max(whole, 1U)).run());
    }
    return 0;
}
