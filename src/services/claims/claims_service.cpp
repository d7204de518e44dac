#include "services/claims/claims_service.h"

#include "core/periodic_task.h"
#include "core/random.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "platform/platform_service.h"
#include "services/claims/bucket_shell.h"
#include "services/claims/claims_metrics.h"
#include "services/node/node_service.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <utility>

namespace almondtiller::services {

namespace {

/// Fixed for good: a key's bucket must be the same for every node.
constexpr auto bucket_count = 64U;
constexpr auto store_thread_count = 8U;

constexpr auto retention = core::milliseconds(3'600'000);
constexpr auto retry_pause = core::milliseconds(200);
/// Longer than any deadline: an older claim is not under way any more.
constexpr auto longest_execution_ms = std::int64_t(120'000);
constexpr auto end_patience = core::milliseconds(500);
constexpr auto shutdown_patience = core::milliseconds(5000);
constexpr auto answer_timeout = core::milliseconds(1000);
constexpr auto busy_timer_interval = core::milliseconds(10);
constexpr auto idle_timer_interval = core::milliseconds(1000);

/// Leaves room below the platform's limit for JSON escapes.
constexpr auto max_bucket_bytes = platform::max_value_bytes / 4 * 3;

auto bucket_name(std::uint32_t index) -> std::string
{
    auto digits = std::array<char, 8>{};
    std::snprintf(digits.data(), digits.size(), "%02x", index);
    return digits.data();
}

auto answer_key(const std::string& claim) -> platform::object_key
{
    return {"claim-answer", claim};
}

auto verdict_name(const claims::claim_decided& decided) -> std::string
{
    if (decided.error) {
        return core::error_name(decided.error);
    }
    switch (decided.verdict) {
    case claims::claim_verdict::granted:
        return "granted";
    case claims::claim_verdict::replayed:
        return "replayed";
    case claims::claim_verdict::in_progress:
        return "in_progress";
    case claims::claim_verdict::outcome_unknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

auto end_name(claim_end end) -> std::string
{
    switch (end) {
    case claim_end::completed:
        return "completed";
    case claim_end::not_run:
        return "not_run";
    case claim_end::unknown:
        return "unknown";
    }
    return "unknown";
}

auto to_state(claim_end end) -> claims::claim_state
{
    switch (end) {
    case claim_end::completed:
        return claims::claim_state::completed;
    case claim_end::not_run:
        return claims::claim_state::claimed;
    case claim_end::unknown:
        return claims::claim_state::unknown;
    }
    return claims::claim_state::unknown;
}

} // namespace

struct claims_service::state
{
    struct held_claim
    {
        std::string key;
        claims::claim_record record;
    };

    auto bucket_for(const std::string& key) -> bucket_shell&
    {
        return this->buckets[claims::bucket_of(key, bucket_count)];
    }

    [[nodiscard]] auto pending() const -> std::size_t
    {
        auto sum = std::size_t(0);
        for (const auto& bucket : this->buckets) {
            sum += bucket.pending();
        }
        return sum;
    }

    [[nodiscard]] auto may_be_executing(const claims::claim_record& record,
                                        const claims::moment& at) const -> bool
    {
        if (at.wall_ms - record.claimed_at_ms > longest_execution_ms) {
            return false;
        }
        const auto members = this->peers->members();
        return std::ranges::any_of(members, [&record](const auto& member) {
            return member.id.str() == record.node &&
                   member.state != fleet::member_state::dead;
        });
    }

    auto new_claim_id() -> std::string
    {
        const auto guard = std::lock_guard(this->mutex);
        return this->identity.id.str() + "-" + this->random.hex_id();
    }

    auto run_timers() -> core::duration
    {
        for (auto& bucket : this->buckets) {
            bucket.advance();
        }
        return this->pending() > 0 ? busy_timer_interval : idle_timer_interval;
    }

    /// Moves a long answer into an object of its own.
    /// \return False when that object is not known to be stored.
    auto place_answer(claims::claim_record& record, const std::string& answer)
        -> bool
    {
        if (answer.size() <= claims::max_inline_answer_bytes) {
            record.answer = answer;
            return true;
        }
        record.answer = record.claim;
        record.answer_is_separate = true;
        const auto stored = this->store->create(answer_key(record.claim),
                                                answer, answer_timeout);
        return stored.has_value();
    }

    auto to_decision(const claims::claim_decided& decided,
                     const std::string& key) -> claim_decision
    {
        switch (decided.verdict) {
        case claims::claim_verdict::granted: {
            const auto guard = std::lock_guard(this->mutex);
            this->held.emplace(decided.claim, held_claim{key, decided.record});
            return claim_granted{decided.claim};
        }
        case claims::claim_verdict::replayed:
            return this->recorded_answer(decided.record);
        case claims::claim_verdict::in_progress:
            return claim_in_progress{};
        case claims::claim_verdict::outcome_unknown:
            return claim_outcome_unknown{};
        }
        return claim_outcome_unknown{};
    }

    auto recorded_answer(const claims::claim_record& record) -> claim_decision
    {
        if (!record.answer_is_separate) {
            return claim_replayed{record.answer};
        }
        const auto stored =
            this->store->get(answer_key(record.answer), answer_timeout);
        if (!stored) {
            return claim_outcome_unknown{};
        }
        return claim_replayed{stored.value().value};
    }

    core::runtime_clock* clock = nullptr;
    core::metrics_registry* metrics = nullptr;
    platform::object_store* store = nullptr;
    fleet::peer_bus* peers = nullptr;
    fleet::member identity;

    std::mutex mutex;
    core::random_source random = core::random_source(core::system_seed());
    std::map<std::string, held_claim> held;

    std::deque<bucket_shell> buckets;
    /// Destroyed before the buckets that its threads use.
    std::unique_ptr<store_executor> executor;
    std::unique_ptr<core::periodic_task> timers;
};

claims_service::claims_service() : data(std::make_unique<state>())
{}

claims_service::~claims_service() = default;

auto claims_service::name() const -> std::string_view
{
    return claims_service_name;
}

auto claims_service::dependencies() const -> std::vector<std::string>
{
    return {platform::platform_service_name, fleet::peers_service_name,
            node_service_name};
}

auto claims_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->data->clock = &kernel.clock();
    this->data->metrics = &kernel.metrics();
    this->data->executor = std::make_unique<store_executor>(store_thread_count);
    return {};
}

auto claims_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    auto& data = *this->data;
    data.store =
        kernel.find<platform::object_store>(platform::platform_service_name);
    data.peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    data.identity = kernel.find<node_service>(node_service_name)->identity();
    auto environment = claims::bucket_environment();
    environment.node = data.identity.id.str();
    environment.incarnation = data.identity.incarnation;
    environment.is_holder_alive = [&data](const auto& record, const auto& at) {
        return data.may_be_executing(record, at);
    };
    environment.retention = retention;
    environment.retry_pause = retry_pause;
    environment.max_value_bytes = max_bucket_bytes;
    for (auto index = 0U; index < bucket_count; ++index) {
        data.buckets.emplace_back(bucket_name(index), environment, *data.store,
                                  *data.executor, *data.clock, *data.metrics);
    }
    data.timers = std::make_unique<core::periodic_task>(
        *data.clock, [&data] { return data.run_timers(); });
    return {};
}

auto claims_service::about_to_shutdown() -> void
{
    auto& data = *this->data;
    const auto limit = data.clock->now() + shutdown_patience;
    auto mutex = std::mutex();
    auto condition = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    while (data.pending() > 0 && data.clock->now() < limit) {
        data.clock->wait_until(lock, condition,
                               data.clock->now() + busy_timer_interval,
                               [] { return false; });
    }
    if (data.timers) {
        data.timers->stop();
    }
    data.executor->stop();
}

auto claims_service::acquire(const claim_request& request)
    -> core::result<claim_decision>
{
    auto& data = *this->data;
    const auto started = data.clock->now();
    auto wanted = claims::claim_wanted();
    wanted.claim = data.new_claim_id();
    wanted.key =
        claims::record_key(request.workspace.str(), request.idempotency_key);
    wanted.fingerprint = request.fingerprint;
    wanted.deadline = request.deadline;
    data.timers->wake();
    const auto decided = data.bucket_for(wanted.key).want(wanted);
    data.metrics
        ->counter_for(claim_decisions, {{"verdict", verdict_name(decided)}})
        .add();
    data.metrics->histogram_for(claim_duration)
        .record(data.clock->now() - started);
    if (decided.error) {
        return decided.error;
    }
    return data.to_decision(decided, wanted.key);
}

auto claims_service::finish(const std::string& claim, claim_end end,
                            const std::string& answer) -> std::error_code
{
    auto& data = *this->data;
    auto held = state::held_claim();
    {
        const auto guard = std::lock_guard(data.mutex);
        const auto found = data.held.find(claim);
        if (found == data.held.end()) {
            return claims::claims_errc::unknown_claim;
        }
        held = std::move(found->second);
        data.held.erase(found);
    }
    held.record.state = to_state(end);
    if (end == claim_end::completed &&
        !data.place_answer(held.record, answer)) {
        held.record.state = claims::claim_state::unknown;
    }
    data.timers->wake();
    const auto recorded =
        data.bucket_for(held.key).finish(held.key, held.record, end_patience);
    data.metrics
        ->counter_for(claim_ends, {{"end", end_name(end)},
                                   {"recorded", recorded ? "yes" : "no"}})
        .add();
    return recorded ? std::error_code()
                    : make_error_code(claims::claims_errc::store_unavailable);
}

} // namespace almondtiller::services
