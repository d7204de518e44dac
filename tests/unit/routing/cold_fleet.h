#pragma once

#include "routing/cold_client.h"
#include "routing/cold_slot_coordinator.h"
#include "routing_builders.h"

#include "core/random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace almondtiller::routing {

/// Simulates the coordinators and clients of a few nodes with one cold upstream
/// in steps of 20 ms. With faults enabled, messages are lost, delayed and
/// duplicated, nodes are paused and restarted, and the members change; each
/// node's view is updated at a different time within cold_timing::view_skew.
class cold_fleet
{
public:
    struct node
    {
        core::node_id id;
        std::uint64_t start = 1;
        std::unique_ptr<cold_slot_coordinator> coordinator;
        std::unique_ptr<cold_client> client;
        cold_grant grant;
        /// End times of the attempts in flight.
        std::vector<core::time_point> attempts;
        core::time_point paused_until = start_time;
        core::time_point view_due = start_time;
        bool has_pending_view = false;
        bool was_paused = false;
        std::uint32_t completed = 0;
        std::vector<std::function<void()>> inbox;
    };

    cold_fleet(int size, int capacity, std::uint64_t seed)
        : capacity(std::uint32_t(capacity)), random(seed)
    {
        for (auto index = 0; index < size; ++index) {
            this->nodes.emplace_back();
            this->nodes.back().id = core::node_id(std::to_string(index));
            this->live.push_back(this->nodes.back().id);
        }
        for (auto& started : this->nodes) {
            this->restart(started);
        }
    }

    auto step() -> void
    {
        this->now += milliseconds(20);
        if (this->faults) {
            this->inject_faults();
        }
        this->deliver();
        for (auto& running : this->nodes) {
            this->finish(running);
            if (this->now < running.paused_until) {
                running.was_paused = true;
            } else {
                this->resume(running);
                this->run(running);
            }
        }
        this->max_in_flight = std::max(this->max_in_flight, this->in_flight());
    }

    [[nodiscard]] auto in_flight() const -> std::uint32_t
    {
        auto sum = std::size_t(0);
        for (const auto& running : this->nodes) {
            sum += running.attempts.size();
        }
        return std::uint32_t(sum + this->orphans.size());
    }

    std::vector<node> nodes;
    bool faults = false;
    std::uint32_t max_in_flight = 0;
    core::time_point now = start_time;

private:
    auto one_chance_in(std::uint64_t trials) -> bool
    {
        return this->random.below(trials) == 0;
    }

    auto restart(node& started) -> void
    {
        ++started.start;
        started.coordinator = std::make_unique<cold_slot_coordinator>(
            started.id, this->timing, this->now);
        started.client = std::make_unique<cold_client>(
            started.id, started.start, this->timing);
        started.grant = cold_grant();
        started.inbox.clear();
        // The upstream keeps running the attempts of the previous process.
        for (const auto end : started.attempts) {
            this->orphans.insert(end);
        }
        started.attempts.clear();
        this->apply_view(started);
    }

    auto apply_view(node& updated) -> void
    {
        const auto view = member_view{this->live, this->leaving};
        updated.coordinator->set_view(view, this->now);
        updated.client->set_view(view);
        updated.has_pending_view = false;
    }

    /// The view of a resumed node is updated only after some delay.
    auto resume(node& resumed) -> void
    {
        if (resumed.was_paused) {
            resumed.was_paused = false;
            resumed.view_due = std::max(resumed.view_due, this->random_skew());
        }
    }

    /// Prefers the shortest and the longest skew, which are the worst cases.
    auto random_skew() -> core::time_point
    {
        const auto longest = std::uint64_t(1900);
        const auto skew = this->one_chance_in(3)   ? this->random.below(longest)
                          : this->one_chance_in(2) ? longest
                                                   : 0;
        return this->now + milliseconds(skew);
    }

    auto inject_faults() -> void
    {
        if (this->one_chance_in(200)) {
            auto& paused = this->nodes[this->random.below(this->nodes.size())];
            const auto length = milliseconds(this->random.below(8000));
            paused.paused_until = this->now + length;
        }
        if (this->one_chance_in(400)) {
            this->restart(this->nodes[this->random.below(this->nodes.size())]);
        }
        const auto settled =
            std::ranges::none_of(this->nodes, &node::has_pending_view) &&
            this->now >= this->next_change;
        if (settled && this->one_chance_in(100)) {
            this->change_members();
        }
    }

    auto change_members() -> void
    {
        const auto& changed =
            this->nodes[this->random.below(this->nodes.size())].id;
        const auto place = std::ranges::find(this->live, changed);
        if (place == this->live.end()) {
            this->live.push_back(changed);
            std::erase(this->leaving, changed);
        } else if (this->live.size() > 1) {
            this->live.erase(place);
            if (this->one_chance_in(2)) {
                this->leaving.push_back(changed);
            }
        }
        std::ranges::sort(this->live);
        for (auto& updated : this->nodes) {
            updated.has_pending_view = true;
            updated.view_due = this->random_skew();
        }
        this->next_change = this->now + this->timing.view_skew;
    }

    auto deliver() -> void
    {
        while (!this->network.empty() &&
               this->network.begin()->first <= this->now) {
            const auto [receiver, message] = this->network.begin()->second;
            this->network.erase(this->network.begin());
            this->nodes[receiver].inbox.push_back(message);
        }
    }

    auto post(std::size_t receiver, const std::function<void()>& message)
        -> void
    {
        const auto copies = !this->faults             ? 1
                            : this->one_chance_in(10) ? 0
                            : this->one_chance_in(10) ? 2
                                                      : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            const auto is_slow = this->faults && this->one_chance_in(20);
            const auto delay = this->random.below(is_slow ? 5000 : 30);
            this->network.emplace(this->now + milliseconds(delay),
                                  std::pair(receiver, message));
        }
    }

    auto finish(node& running) -> void
    {
        std::erase_if(this->orphans,
                      [this](const auto end) { return end <= this->now; });
        running.completed += std::uint32_t(
            std::erase_if(running.attempts,
                          [this](const auto end) { return end <= this->now; }));
    }

    auto run(node& running) -> void
    {
        if (running.has_pending_view && this->now >= running.view_due) {
            this->apply_view(running);
        }
        running.coordinator->tick(this->now);
        auto inbox = std::move(running.inbox);
        running.inbox.clear();
        for (const auto& message : inbox) {
            message();
        }
        const auto wanted =
            this->one_chance_in(4) ? std::uint32_t(this->random.below(5)) : 4U;
        const auto load = std::uint32_t(running.attempts.size());
        const auto planned = running.client->poll(
            {{core::pool_name("p"), {this->upstream, "", wanted, load}}},
            this->now);
        for (const auto& change : planned.grants) {
            running.grant = change.grant;
        }
        for (const auto& request : planned.requests) {
            this->send(running, request);
        }
        while (this->now < running.grant.expires &&
               running.attempts.size() < running.grant.slots) {
            const auto is_long = this->faults && this->one_chance_in(3);
            const auto length = is_long ? 3000 : 1 + this->random.below(100);
            running.attempts.push_back(this->now + milliseconds(length));
        }
    }

    auto send(const node& sender, const cold_client::request& request) -> void
    {
        const auto from = std::size_t(&sender - this->nodes.data());
        const auto to = std::size_t(std::stoul(request.target.str()));
        const auto slot_request = request.slot_request;
        this->post(to, [this, from, to, slot_request] {
            const auto& holder = this->nodes[from].id;
            const auto response = this->nodes[to].coordinator->handle_request(
                holder, slot_request, this->capacity, this->now);
            const auto start = slot_request.holder_start;
            this->post(from, [this, from, to, response, start] {
                auto& receiver = this->nodes[from];
                if (receiver.start != start) {
                    return;
                }
                const auto outcome = receiver.client->on_response(
                    this->nodes[to].id, response, this->now);
                const auto* taken =
                    std::get_if<cold_client::grant_change>(&outcome);
                if (taken != nullptr) {
                    receiver.grant = taken->grant;
                }
            });
        });
    }

    const core::upstream_id upstream = core::upstream_id("u");
    cold_timing timing;
    std::uint32_t capacity;
    core::random_source random;
    std::vector<core::node_id> live;
    std::vector<core::node_id> leaving;
    core::time_point next_change = start_time;
    std::multiset<core::time_point> orphans;
    std::multimap<core::time_point,
                  std::pair<std::size_t, std::function<void()>>>
        network;
};

} // namespace almondtiller::routing
