#include "services/claims/claims_service.h"

#include "core/periodic_task.h"
#include "core/random.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "platform/platform_service.h"
#include "services/claims/bucket_set.h"
#include "services/claims/claim_router.h"
#include "services/claims/claims_metrics.h"
#include "services/node/node_service.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace almondtiller::services {

namespace {

/// Longer than any deadline: an older claim is not under way any more.
constexpr auto longest_execution_ms = std::int64_t(120'000);
constexpr auto shutdown_patience = core::milliseconds(5000);
constexpr auto answer_timeout = core::milliseconds(1000);
constexpr auto busy_timer_interval = core::milliseconds(10);
constexpr auto idle_timer_interval = core::milliseconds(1000);

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

    [[nodiscard]] auto pending() const -> std::size_t
    {
        return this->buckets->pending() + this->router->unrecorded_count();
    }

    auto run_timers() -> core::duration
    {
        this->buckets->advance();
        this->router->advance();
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

    std::unique_ptr<bucket_set> buckets;
    std::unique_ptr<claim_router> router;
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
    data.buckets = std::make_unique<bucket_set>(
        *data.store, *data.clock, *data.metrics,
        [&data](const auto& record, const auto& at) {
            return data.may_be_executing(record, at);
        });
    data.router = std::make_unique<claim_router>(*data.peers, *data.buckets,
                                                 *data.clock, *data.metrics);
    data.router->handle_topics();
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
    data.buckets->stop();
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
    wanted.node = data.identity.id.str();
    wanted.incarnation = data.identity.incarnation;
    wanted.deadline = request.deadline;
    data.timers->wake();
    const auto decided = data.router->want(wanted, data.new_claim_id());
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
    data.router->finish(held.key, held.record);
    data.metrics->counter_for(claim_ends, {{"end", end_name(end)}}).add();
    return {};
}

} // namespace almondtiller::services
