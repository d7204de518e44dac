#include "core/random.h"
#include "services/gateway/stage_plan.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>

namespace almondtiller::gateway {
namespace {

using std::chrono::milliseconds;

/// Alternates urgent requests with one stage of large results and less urgent
/// requests with such a stage in parallel to a chain of three stages. Each
/// service has three upstreams; those for the large results hold 12 each.
class stage_room_replay : public testing::Test
{
protected:
    stage_room_replay()
    {
        this->add_service("feed", 8, milliseconds(16), 36000000);
        this->add_service("map", 16, milliseconds(8), 2900000);
        this->add_service("auth", 32, milliseconds(4), 580000);
        const auto stage = [](const char* service,
                              std::vector<std::size_t> after,
                              std::uint64_t bytes) {
            return serving::stage{serving::service_name(service),
                                  std::move(after), bytes};
        };
        this->route.stages = {stage("feed", {}, 3000000),
                              stage("feed", {}, 8000), stage("map", {1}, 60000),
                              stage("auth", {2}, 6000)};
    }

    auto add_service(const std::string& name, std::uint32_t batch,
                     core::milliseconds item_time, std::uint64_t room) -> void
    {
        auto pool = serving::stage_pool();
        pool.batch = batch;
        pool.call_time = milliseconds(150);
        pool.item_time = item_time;
        pool.room_bytes = room;
        pool.result_life = std::chrono::seconds(4);
        auto service = serving::service();
        service.stages = pool;
        const auto id = serving::service_name(name);
        this->config.services[id] = service;
        auto& queue = this->queues.emplace(id, pool).first->second;
        auto upstreams = std::vector<dispatch::stage_upstream>();
        for (auto index = 0; index < 3; ++index) {
            const auto text = name + std::to_string(index);
            upstreams.push_back({core::upstream_id(text),
                                 {"127.0.0.1", 80},
                                 core::zone_name("z")});
        }
        queue.set_upstreams(upstreams);
    }

    struct running_request
    {
        std::unique_ptr<stage_plan> plan;
        core::time_point due;
        core::time_point released;
        core::time_point large_results_ready;
        bool is_complete = false;
    };
    struct running_call
    {
        serving::service_name service;
        dispatch::stage_call call;
        core::time_point end;
    };

    auto submit_ready(std::uint64_t number) -> void
    {
        auto& request = this->requests[number];
        for (const auto stage : request.plan->start_ready()) {
            auto work = request.plan->work_of(stage);
            work.ticket = number * this->route.stages.size() + stage;
            const auto& service = request.plan->service_of(stage);
            if (this->queues.at(service).submit(std::move(work), this->now)) {
                this->free(request.plan->reset());
                this->requests.erase(number);
                return;
            }
        }
    }

    auto free(const std::vector<released_results>& results) -> void
    {
        for (const auto& part : results) {
            for (const auto& handle : part.handles) {
                this->queues.at(part.service).on_result_freed(handle);
            }
        }
    }

    auto apply_effects(const dispatch::stage_effects& effects) -> void
    {
        for (const auto& outcome : effects.outcomes) {
            const auto stages = this->route.stages.size();
            const auto found = this->requests.find(outcome.ticket / stages);
            if (found == this->requests.end()) {
                continue;
            }
            auto& request = found->second;
            if (outcome.status != dispatch::stage_status::done) {
                this->free(request.plan->reset());
                this->requests.erase(found);
                continue;
            }
            if (outcome.ticket % stages == 0) {
                request.large_results_ready = this->now;
            }
            this->free(request.plan->on_done(outcome.ticket % stages,
                                             outcome.handles));
            request.is_complete = request.plan->is_complete();
            if (request.is_complete) {
                this->completed_in_time += this->now <= request.due ? 1 : 0;
                this->idle_results += this->now - request.large_results_ready;
                // The model engine has read its inputs when it begins to
                // answer.
                request.released = this->now + milliseconds(350);
            } else {
                this->submit_ready(outcome.ticket / stages);
            }
        }
    }

    auto end_calls() -> void
    {
        auto ended = std::vector<running_call>();
        std::erase_if(this->calls, [&](const auto& running) {
            const auto is_finished = running.end <= this->now;
            if (is_finished) {
                ended.push_back(running);
            }
            return is_finished;
        });
        for (const auto& running : ended) {
            auto results = std::vector<serving::stage_result>();
            for (auto index = std::size_t(0); index < running.call.items.size();
                 ++index) {
                results.push_back({"h" + std::to_string(++this->handles),
                                   serving::stage_failure::none});
            }
            this->apply_effects(
                this->queues.at(running.service)
                    .on_results(running.call.id, results, this->now));
        }
    }

    auto start_calls() -> void
    {
        for (auto& [service, queue] : this->queues) {
            this->apply_effects(queue.on_tick(this->now));
            while (auto call = queue.next_call(this->now)) {
                const auto end = call->expected_end;
                this->calls.push_back({service, std::move(*call), end});
            }
        }
    }

    auto release_consumed() -> void
    {
        std::erase_if(this->requests, [this](auto& item) {
            auto& request = item.second;
            const auto is_finished =
                request.is_complete && request.released <= this->now;
            if (is_finished) {
                this->free(request.plan->reset());
            }
            return is_finished;
        });
    }

    static auto is_urgent(std::uint64_t number) -> bool
    {
        return number % 2 == 0;
    }

    /// Submits requests at random intervals, then runs for three more seconds
    /// so that all of them end.
    /// \param mean_interval Mean time between two requests.
    auto replay(core::duration mean_interval, int count) -> void
    {
        auto next = this->now;
        auto number = std::uint64_t(0);
        const auto end =
            this->now + mean_interval * count + std::chrono::seconds(3);
        while (this->now < end) {
            if (next <= this->now && int(number) < count) {
                const auto drawn = -std::log(1.0 - this->random.unit());
                next += std::chrono::duration_cast<core::duration>(
                    mean_interval * drawn);
                this->add_request(++number);
            }
            this->end_calls();
            this->start_calls();
            this->release_consumed();
            this->now += milliseconds(2);
        }
    }

    auto add_request(std::uint64_t number) -> void
    {
        auto request = serving::caller_request();
        request.id = core::request_id("r" + std::to_string(number));
        request.piece_key = "key";
        const auto urgent = is_urgent(number);
        request.pieces = urgent ? std::vector<std::uint32_t>{3, 0, 0, 0}
                                : std::vector<std::uint32_t>{3, 1, 8, 16};
        auto& added = this->requests[number];
        added.due = this->now + milliseconds(urgent ? 950 : 1250);
        added.plan = std::make_unique<stage_plan>(
            this->route, request, this->config, added.due,
            this->now + std::chrono::seconds(6), urgent ? 1 : 2,
            core::zone_name("z"),
            [](const auto&) { return core::zone_name("z"); });
        this->submit_ready(number);
    }

    serving::route route;
    serving::configuration config;
    std::map<serving::service_name, dispatch::stage_queue> queues;
    std::map<std::uint64_t, running_request> requests;
    std::vector<running_call> calls;
    core::time_point now{std::chrono::hours(1)};
    std::uint64_t handles = 0;
    int completed_in_time = 0;
    core::random_source random{7};
    /// Total time for which large results have waited for the other stages of
    /// their requests.
    core::duration idle_results{0};
};

// Load pattern: in a burst, less urgent requests whose large results wait for
// the rest of their stages occupy the memory that urgent requests need.
TEST_F(stage_room_replay, large_results_are_produced_when_they_are_needed)
{
    constexpr auto request_count = 600;
    this->replay(milliseconds(80), request_count);
    EXPECT_GE(this->completed_in_time * 100, request_count * 97);
    EXPECT_LE(this->idle_results / (request_count / 2), milliseconds(200))
        << "the stages of a request take 600 ms and more";
}

} // namespace
} // namespace almondtiller::gateway
