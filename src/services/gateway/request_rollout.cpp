#include "services/gateway/request_flow.h"

namespace almondtiller::gateway {

auto request_flow::held_results(const serving::service_name& stage) const
    -> std::vector<std::string>
{
    return this->stages ? this->stages->held_results(stage)
                        : std::vector<std::string>();
}

auto request_flow::may_send(const core::upstream_id& granted) const -> bool
{
    const auto now = this->shared.event_loop.now();
    return this->shared.serving_state.may_send(granted, now) &&
           (this->shared.rollouts == nullptr ||
            this->shared.rollouts->may_send(this->service, granted, now));
}

auto request_flow::version_of(const core::upstream_id& granted) const
    -> std::string
{
    const auto& upstreams = this->shared.serving_state.upstreams();
    const auto found = upstreams.find(granted);
    return found == upstreams.end() ? std::string()
                                    : found->second.upstream.version;
}

auto request_flow::open_record(const core::upstream_id& granted) -> void
{
    if (this->shared.rollouts != nullptr) {
        this->record = this->shared.rollouts->begin(granted, this->route.name);
    }
}

auto request_flow::close_record() -> void
{
    const auto is_broken_off =
        this->is_stream && !this->events.incomplete_event().empty();
    if (this->record && !this->verdict.not_run && !is_broken_off) {
        this->record->on_answer(this->verdict.status,
                                this->shared.event_loop.now());
    }
}

} // namespace almondtiller::gateway
