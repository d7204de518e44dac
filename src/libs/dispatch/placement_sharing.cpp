#include "dispatch/placement.h"

#include <algorithm>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// Least cost of a request, as one whose prompt is cached still takes a slot.
constexpr auto min_request_cost = 1.0;

} // namespace

auto placement::request_cost(const placement_request& request,
                             double prompt_tokens) const -> double
{
    if (!this->service.model) {
        return min_request_cost;
    }
    // The upstreams of a service are alike.
    const auto slots =
        this->upstreams.empty()
            ? 1U
            : this->upstreams.begin()->second.known.upstream.slots;
    const auto output =
        double(request.output_tokens) *
        this->output.prompt_tokens(this->prefill.tokens_per_ms(), slots);
    return std::max(prompt_tokens + output, min_request_cost);
}

auto placement::join_flow(waiting_request& waiting, core::time_point now)
    -> void
{
    if (this->queue.size() == 1) {
        // Cancelled requests may have ended a busy period unnoticed.
        auto none = std::vector<fairness::waiting_work>();
        this->order->arrange(none, now);
    }
    const auto& request = waiting.request;
    waiting.flow = this->order->flow_of(request.workspace, request.priority,
                                        request.weight);
    // The last part belongs to this request alone, so no upstream has read it.
    const auto own_tokens =
        request.prompt.empty() ? 0.0 : double(request.prompt.back().tokens);
    waiting.expected_cost = this->request_cost(request, own_tokens);
}

auto placement::sort_queue_by_share(core::time_point now) -> void
{
    auto works = std::vector<fairness::waiting_work>();
    works.reserve(this->queue.size());
    for (const auto& waiting : this->queue) {
        const auto& request = waiting.request;
        auto work = fairness::waiting_work();
        work.flow = waiting.flow.get();
        work.ticket = request.ticket;
        work.index = works.size();
        work.cost = waiting.expected_cost;
        work.due = request.due;
        work.latest_start =
            request.due - std::chrono::duration_cast<core::duration>(
                              std::chrono::duration<double, std::milli>(
                                  this->min_service_ms(request)));
        work.is_late = work.latest_start < now;
        works.push_back(work);
    }
    this->order->arrange(works, now);
    auto is_moved = false;
    for (auto index = std::size_t(0); index < works.size(); ++index) {
        auto& waiting = this->queue[works[index].index];
        waiting.is_advanced = works[index].is_advanced();
        waiting.is_late = works[index].is_late;
        is_moved = is_moved || works[index].index != index;
    }
    if (!is_moved) {
        return;
    }
    auto sorted = std::vector<waiting_request>();
    sorted.reserve(this->queue.capacity());
    for (const auto& work : works) {
        sorted.push_back(std::move(this->queue[work.index]));
    }
    this->queue = std::move(sorted);
}

auto placement::leave_flow(const waiting_request& waiting,
                           placement_status status, core::time_point now)
    -> void
{
    if (!this->order) {
        return;
    }
    if (status == placement_status::granted) {
        const auto run = this->running.find(waiting.request.ticket);
        const auto prompt_tokens =
            run == this->running.end() ? 0.0 : run->second.prefill_tokens;
        this->order->charge(*waiting.flow,
                            this->request_cost(waiting.request, prompt_tokens),
                            waiting.is_advanced, now);
    }
    this->order->on_left(*waiting.flow, waiting.is_late);
}

auto placement::share_of(const core::workspace_name& workspace, int priority,
                         core::time_point now) const
    -> std::optional<fairness::workspace_share>
{
    return this->order
               ? std::optional(this->order->share_of(workspace, priority, now))
               : std::nullopt;
}

} // namespace almondtiller::dispatch
