#include "baseline.h"

#include "load/upstream_call.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace almondtiller::experiment {

namespace {

using harness::call_outcome;
using harness::call_result;
using nlohmann::json;

constexpr auto blind_attempts = 4;
constexpr auto timed_attempts = 2;
/// Share of the remaining time that one attempt may take.
constexpr auto timeout_divisor = 2;

/// The members of one pool, as all workers see them.
struct pool_view
{
    std::vector<std::string> addresses;
    std::vector<std::uint32_t> in_flight;
    std::size_t next = 0;
};

class baseline
{
public:
    baseline(harness::cluster& cluster, settings::snapshot_ptr declared,
             baseline_policy policy, std::size_t workers)
        : declared(std::move(declared)), policy(policy), connections(workers)
    {
        for (const auto& upstream : cluster.upstreams()) {
            auto& pool = this->pools[upstream.pool];
            pool.addresses.push_back(upstream.address);
            pool.in_flight.push_back(0);
        }
    }

    auto run(std::size_t worker, const harness::call_request& request)
        -> harness::client_result
    {
        const auto start = harness::now();
        const auto deadline = start + request.deadline;
        auto result = harness::client_result();
        auto& last = result.last;
        auto input = json{{"marker", request.marker}};
        if (request.answer_tokens > 0) {
            input["answer_tokens"] = request.answer_tokens;
        }
        auto text = input.dump();
        const auto* pipeline = this->declared->find_pipeline(
            core::pipeline_name(request.pipeline));
        last.outcome = call_outcome::complete;
        for (const auto& stage : pipeline->stages) {
            if (!this->run_stage(worker, request, stage, deadline, text,
                                 last)) {
                last.outcome = call_outcome::unknown;
                break;
            }
        }
        last.latency = harness::now() - start;
        result.tries.push_back(last.outcome);
        return result;
    }

private:
    /// \param text The stage's input; receives its output.
    auto run_stage(std::size_t worker, const harness::call_request& request,
                   const settings::stage_settings& stage,
                   core::time_point deadline, std::string& text,
                   call_result& result) -> bool
    {
        const auto is_blind =
            this->policy == baseline_policy::round_robin_with_retries;
        const auto attempts = is_blind ? blind_attempts : timed_attempts;
        for (auto attempt = 0; attempt < attempts; ++attempt) {
            const auto left = std::chrono::duration_cast<core::milliseconds>(
                deadline - harness::now());
            if (left <= core::milliseconds::zero()) {
                return false;
            }
            auto call = load::upstream_request();
            call.attempt = "baseline-" + std::to_string(this->next_attempt++);
            call.request = request.marker;
            call.workspace = request.workspace;
            call.kind = settings::to_string(stage.kind);
            call.input = text;
            call.idempotency_key = request.idempotency_key;
            call.max_tokens = stage.max_tokens;
            call.timeout = is_blind ? left
                                    : std::max(left / timeout_divisor,
                                               core::milliseconds(1));
            ++result.attempts;
            const auto reply = this->attempt(worker, stage.pool.str(), call);
            if (reply.complete) {
                text = reply.output;
                result.tokens = reply.tokens;
                return true;
            }
        }
        return false;
    }

    auto attempt(std::size_t worker, const std::string& pool_name,
                 const load::upstream_request& call) -> load::upstream_reply
    {
        auto& pool = this->pools.at(pool_name);
        const auto chosen = this->choose(pool);
        auto& connection = this->connections[worker][pool.addresses[chosen]];
        if (!connection) {
            connection = std::make_unique<load::upstream_connection>(
                pool.addresses[chosen]);
        }
        auto reply = connection->call(call);
        const auto guard = std::lock_guard(this->mutex);
        --pool.in_flight[chosen];
        return reply;
    }

    auto choose(pool_view& pool) -> std::size_t
    {
        const auto guard = std::lock_guard(this->mutex);
        auto chosen = pool.next++ % pool.addresses.size();
        if (this->policy == baseline_policy::least_in_flight_with_timeouts) {
            chosen = std::size_t(
                std::min_element(pool.in_flight.begin(), pool.in_flight.end()) -
                pool.in_flight.begin());
        }
        ++pool.in_flight[chosen];
        return chosen;
    }

    using connection_map =
        std::map<std::string, std::unique_ptr<load::upstream_connection>>;

    settings::snapshot_ptr declared;
    baseline_policy policy;
    std::mutex mutex;
    std::map<std::string, pool_view> pools;
    std::vector<connection_map> connections;
    std::atomic<std::uint64_t> next_attempt = 0;
};

} // namespace

auto send_by_baseline(harness::cluster& cluster,
                      const settings::snapshot_ptr& declared,
                      baseline_policy policy, std::size_t workers)
    -> load::traffic_sender
{
    const auto shared =
        std::make_shared<baseline>(cluster, declared, policy, workers);
    return [shared](std::size_t worker, const auto& request, const auto&) {
        return shared->run(worker, request);
    };
}

} // namespace almondtiller::experiment
