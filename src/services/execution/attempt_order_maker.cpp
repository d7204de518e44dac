#include "services/execution/attempt_order_maker.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace almondtiller::services {

namespace {

/// How much of the input counts as the prefix that engines may have cached.
constexpr auto prefix_bytes = std::size_t(256);

auto prefix_hash_of(const core::workspace_name& workspace,
                    const std::string& input) -> std::uint64_t
{
    const auto seed =
        XXH3_64bits(workspace.str().data(), workspace.str().size());
    return XXH3_64bits_withSeed(input.data(),
                                std::min(input.size(), prefix_bytes), seed);
}

} // namespace

auto make_order(const api::run_request& request,
                const settings::snapshot& snapshot,
                const pipeline::pipeline_run& run,
                const pipeline::start_attempt& wanted) -> attempt_order
{
    const auto& stage = run.plan().pipeline.stages[wanted.stage];
    auto order = attempt_order();
    order.pool = stage.pool;
    order.request = run.plan().request;
    order.stage = stage;
    order.timeout = wanted.timeout;
    order.input = run.stage_input();
    order.stream = wanted.stream;
    order.resume_from = wanted.resume_from;
    if (!stage.idempotent) {
        order.idempotency_key = request.idempotency_key;
    }
    auto& work = order.work;
    work.id = wanted.id;
    work.workspace = request.workspace;
    if (const auto* found = snapshot.find_workspace(request.workspace)) {
        work.workspace_weight = found->weight;
        work.max_in_flight = found->max_in_flight;
    }
    work.priority = std::int32_t(request.priority);
    work.deadline = wanted.deadline;
    work.min_budget = stage.min_budget;
    work.reason = wanted.reason;
    work.excluded = wanted.excluded;
    if (stage.kind == settings::stage_kind::generate) {
        work.prefix_hash = prefix_hash_of(request.workspace, order.input);
    }
    return order;
}

} // namespace almondtiller::services
