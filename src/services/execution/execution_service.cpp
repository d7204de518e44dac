#include "services/execution/execution_service.h"

#include "api/api_errc.h"
#include "api/run_answer.h"
#include "kernel/kernel.h"
#include "pipeline/pipeline_run.h"
#include "services/execution/attempt_order_maker.h"
#include "services/upstreams/pool_access.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <condition_variable>
#include <utility>

namespace almondtiller::services {

namespace {

using api::api_errc;
using api::failed_outcome;

constexpr auto in_progress_retry_after = core::milliseconds(200);
/// Every so many requests one is let through whatever the estimates say, so
/// that they are renewed.
constexpr auto probe_interval = 16;

auto has_side_effect(const settings::pipeline_settings& pipeline) -> bool
{
    return std::ranges::any_of(
        pipeline.stages, [](const auto& stage) { return !stage.idempotent; });
}

auto fingerprint_of(const api::run_request& request) -> std::string
{
    const auto text = request.pipeline.str() + "\n" + request.input;
    return std::to_string(XXH3_64bits(text.data(), text.size()));
}

auto claim_end_of(const run_conclusion& conclusion) -> claim_end
{
    if (std::holds_alternative<run_success>(conclusion)) {
        return claim_end::completed;
    }
    const auto& described = std::get<api::problem>(conclusion);
    return described.outcome == failed_outcome::not_run ? claim_end::not_run
                                                        : claim_end::unknown;
}

} // namespace

/// One request under way.
struct execution_service::execution
{
    const api::run_request& request;
    const run_hooks& hooks;
    settings::snapshot_ptr snapshot;
    core::request_id id;
    pipeline::pipeline_run run;
    pipeline::run_actions last;

    [[nodiscard]] auto is_abandoned() const -> bool
    {
        return this->hooks.is_abandoned && this->hooks.is_abandoned();
    }
};

execution_service::execution_service() : random(core::system_seed())
{}

auto execution_service::name() const -> std::string_view
{
    return execution_service_name;
}

auto execution_service::dependencies() const -> std::vector<std::string>
{
    return {fleet::config_service_name, claims_service_name,
            upstreams_service_name};
}

auto execution_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->clock = &kernel.clock();
    this->costs = std::make_unique<run_costs>(kernel.metrics());
    return {};
}

auto execution_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    this->runner = kernel.find<attempt_runner>(upstreams_service_name);
    this->claims = kernel.find<claim_registry>(claims_service_name);
    return {};
}

auto execution_service::check(const api::run_request& request) const
    -> std::error_code
{
    const auto snapshot = this->config->current();
    if (snapshot->revision == 0) {
        return api_errc::no_configuration;
    }
    const auto* pipeline = snapshot->find_pipeline(request.pipeline);
    if (pipeline == nullptr) {
        return api_errc::unknown_pipeline;
    }
    if (snapshot->find_workspace(request.workspace) == nullptr) {
        return api_errc::unknown_workspace;
    }
    if (request.idempotency_key.empty() && has_side_effect(*pipeline)) {
        return api_errc::idempotency_key_required;
    }
    return {};
}

auto execution_service::run(const api::run_request& request,
                            const run_hooks& hooks) -> run_conclusion
{
    if (const auto error = this->check(request)) {
        return this->fail({}, error, failed_outcome::not_run, {});
    }
    auto executed = this->make_execution(request, hooks);
    if (has_side_effect(executed.run.plan().pipeline)) {
        return this->run_claimed(executed);
    }
    return this->drive(executed);
}

auto execution_service::make_execution(const api::run_request& request,
                                       const run_hooks& hooks) -> execution
{
    const auto now = this->clock->now();
    auto snapshot = this->config->current();
    auto plan = pipeline::run_plan();
    if (const auto* found = snapshot->find_pipeline(request.pipeline)) {
        plan.pipeline = *found;
    }
    const auto seed = this->next_seed();
    auto ids = core::random_source(seed);
    plan.request = core::request_id(ids.hex_id());
    plan.deadline =
        now +
        std::min(request.deadline.value_or(plan.pipeline.default_deadline),
                 plan.pipeline.max_deadline);
    plan.stream = request.stream;
    plan.input = request.input;
    const auto is_probe = ids.below(probe_interval) == 0;
    for (const auto& stage : plan.pipeline.stages) {
        plan.estimates.push_back(is_probe ? pipeline::stage_estimate()
                                          : this->runner->estimate(stage.pool));
    }
    const auto id = plan.request;
    return {request,
            hooks,
            std::move(snapshot),
            id,
            pipeline::pipeline_run(std::move(plan), seed),
            {}};
}

auto execution_service::run_claimed(execution& executed) -> run_conclusion
{
    const auto& request = executed.request;
    const auto decided = this->claims->acquire(
        {request.workspace, request.idempotency_key, executed.id,
         fingerprint_of(request), executed.run.plan().deadline});
    if (!decided) {
        return this->fail(executed.id, decided.error(), failed_outcome::not_run,
                          in_progress_retry_after);
    }
    if (const auto* replay = std::get_if<claim_replayed>(&decided.value())) {
        return run_success{executed.id, api::mark_replayed(replay->answer)};
    }
    if (std::holds_alternative<claim_in_progress>(decided.value())) {
        return this->fail(executed.id, api_errc::in_progress,
                          failed_outcome::unknown, in_progress_retry_after);
    }
    if (std::holds_alternative<claim_outcome_unknown>(decided.value())) {
        return this->fail(executed.id, api_errc::outcome_unknown,
                          failed_outcome::unknown, {});
    }
    const auto& granted = std::get<claim_granted>(decided.value());
    auto conclusion = this->drive(executed);
    const auto* success = std::get_if<run_success>(&conclusion);
    this->claims->finish(granted.claim, claim_end_of(conclusion),
                         success != nullptr ? success->answer : "");
    return conclusion;
}

/// Carries out the run's actions until it has finished.
auto execution_service::drive(execution& executed) -> run_conclusion
{
    executed.last = executed.run.start(this->clock->now());
    while (!executed.run.is_finished()) {
        const auto* wanted =
            std::get_if<pipeline::start_attempt>(&executed.last.back());
        if (wanted == nullptr) {
            break;
        }
        executed.last = this->attempt(executed, *wanted);
    }
    return this->conclude(executed);
}

auto execution_service::attempt(execution& executed,
                                const pipeline::start_attempt& wanted)
    -> pipeline::run_actions
{
    auto& run = executed.run;
    if (wanted.cause) {
        this->costs->count_retry(*wanted.cause);
        auto mutex = std::mutex();
        auto never = std::condition_variable();
        auto lock = std::unique_lock(mutex);
        this->clock->wait_until(lock, never, wanted.not_before,
                                [] { return false; });
    }
    auto hooks = attempt_hooks();
    hooks.on_dispatch = [&run, &wanted] {
        run.dispatched(wanted.id);
    };
    hooks.is_abandoned = executed.hooks.is_abandoned;
    hooks.on_token = [&](std::uint64_t index, std::string_view text) {
        if (run.token(wanted.id, index) == pipeline::token_verdict::deliver) {
            executed.hooks.on_token(index, text);
        }
    };
    const auto conclusion = this->runner->run(
        make_order(executed.request, *executed.snapshot, run, wanted), hooks);
    const auto now = this->clock->now();
    if (executed.is_abandoned()) {
        auto actions = run.abandon(now);
        if (run.is_finished()) {
            return actions;
        }
    }
    if (const auto* rejection = std::get_if<routing::rejection>(&conclusion)) {
        return run.refused(*rejection, now);
    }
    return run.ended(std::get<pipeline::attempt_report>(conclusion), now);
}

auto execution_service::conclude(execution& executed) -> run_conclusion
{
    const auto& run = executed.run;
    const auto in_time = this->clock->now() <= run.plan().deadline;
    const auto* complete =
        std::get_if<pipeline::complete_run>(&executed.last.back());
    this->costs->count_run(run, executed.request.workspace, complete != nullptr,
                           complete != nullptr && in_time);
    if (complete == nullptr) {
        const auto* failed =
            std::get_if<pipeline::fail_run>(&executed.last.back());
        return this->fail(executed.id, failed->code, failed->outcome,
                          failed->retry_after);
    }
    auto answer = api::run_answer();
    answer.request = executed.id;
    answer.output = complete->output;
    answer.tokens = complete->tokens;
    for (auto at = std::size_t(0); at < run.records().size(); ++at) {
        const auto& record = run.records()[at];
        answer.stages.push_back({run.plan().pipeline.stages[at].name,
                                 record.upstream, record.attempts,
                                 record.elapsed});
    }
    return run_success{executed.id, api::to_json(answer)};
}

auto execution_service::fail(const core::request_id& request,
                             std::error_code code, failed_outcome outcome,
                             core::duration retry_after) -> api::problem
{
    auto described = api::problem();
    described.code = code;
    described.outcome = outcome;
    described.request = request;
    described.retry_after = retry_after;
    this->costs->count_problem(described);
    return described;
}

auto execution_service::next_seed() -> std::uint64_t
{
    const auto guard = std::lock_guard(this->random_mutex);
    return this->random.below(~std::uint64_t(0));
}

auto execution_service::status() const -> std::string
{
    return this->costs->summary();
}

} // namespace almondtiller::services
