#include "services/gateway/dispatch_client.h"

#include "platform/stage_calls.h"
#include "services/gateway/peer_topics.h"

#include <utility>

namespace almondtiller::gateway {

namespace {

/// Time for which reports to the same node are collected into one message.
constexpr auto report_delay = core::milliseconds(4);
constexpr auto report_timeout = core::milliseconds(2000);
/// Time for which upstreams usually keep a processed prompt in their cache.
constexpr auto prompt_cache_retention = core::milliseconds(10000);
/// Limits the number of requests that one node announces to a new owner.
constexpr auto max_recent_requests = std::size_t(64);
/// A limit that was stated longer ago may have ended without this node's
/// knowledge, because upstreams state it in each answer.
constexpr auto limit_announcement_age = core::milliseconds(10000);

} // namespace

auto dispatch_client::announce_limits() -> void
{
    const auto oldest = this->event_loop.now() - limit_announcement_age;
    const auto& upstreams = this->serving_state.upstreams();
    for (const auto& [id, limit] : this->serving_state.limits()) {
        const auto entry = upstreams.find(id);
        if (entry != upstreams.end() && limit.stated_at >= oldest) {
            this->report_limit(entry->second.upstream,
                               {id, limit.per_second, limit.stated_at});
        }
    }
}

auto dispatch_client::announce_recent_requests() -> void
{
    const auto oldest = this->event_loop.now() - prompt_cache_retention;
    for (auto& [request, ended] : this->recent_requests) {
        const auto& message = request.message;
        const auto node = this->owner_of(message.service, message.request.zone);
        if (node == request.owner || ended < oldest) {
            continue;
        }
        this->announce(request);
        this->queue_report(node, {message.service,
                                  message.request.request,
                                  false,
                                  true,
                                  dispatch::attempt_end::completed,
                                  {},
                                  {}});
    }
}

auto dispatch_client::add_recent(placed_request ended) -> void
{
    const auto now = this->event_loop.now();
    while (
        !this->recent_requests.empty() &&
        (this->recent_requests.size() >= max_recent_requests ||
         this->recent_requests.front().ended < now - prompt_cache_retention)) {
        this->recent_requests.pop_front();
    }
    this->recent_requests.push_back({std::move(ended), now});
}

auto dispatch_client::announce(placed_request& entry) -> void
{
    const auto node =
        this->owner_of(entry.message.service, entry.message.request.zone);
    entry.owner = node;
    if (node == this->self) {
        this->local.submit_placement(entry.message, this->self,
                                     [](const auto&) {});
        return;
    }
    this->mesh.call(node, place_topic,
                    encode(entry.message, this->event_loop.now()),
                    report_timeout, [](const auto&) {
                        // If the announcement fails, the new owner does not
                        // count this request until the request ends.
                    });
}

auto dispatch_client::announce_again(const core::request_id& request) -> void
{
    const auto found = this->placed_requests.find(request);
    if (found != this->placed_requests.end()) {
        this->announce(found->second);
    }
}

auto dispatch_client::record_placed(const place_message& message,
                                    const core::node_id& owner,
                                    const core::upstream_id& upstream) -> void
{
    const auto& request = message.request.request;
    const auto earlier = this->placed_requests.find(request);
    if (earlier != this->placed_requests.end() &&
        earlier->second.owner != owner) {
        this->queue_report(earlier->second.owner,
                           {message.service,
                            request,
                            false,
                            true,
                            dispatch::attempt_end::failed,
                            {},
                            {}});
    }
    auto placed = placed_request{message, owner};
    placed.message.placed_at = upstream;
    this->placed_requests[request] = std::move(placed);
}

auto dispatch_client::report_started(const serving::service_name& service,
                                     const core::request_id& request) -> void
{
    this->queue_report({service, request, true, false, {}, {}, {}});
}

auto dispatch_client::report_leaving(const serving::upstream& upstream) -> void
{
    this->queue_report(
        this->owner_of(upstream.service, upstream.zone),
        {upstream.service, {}, false, false, {}, upstream.id, {}});
}

auto dispatch_client::report_limit(const serving::upstream& upstream,
                                   const limit_report& limit) -> void
{
    const auto owner = this->owner_of(upstream.service, upstream.zone);
    if (owner != this->self) {
        this->queue_report(owner,
                           {upstream.service, {}, false, false, {}, {}, limit});
    }
}

auto dispatch_client::set_limit_hook(
    std::function<void(const limit_report&)> hook) -> void
{
    this->limit_hook = std::move(hook);
}

auto dispatch_client::report_ended(const serving::service_name& service,
                                   const core::request_id& request,
                                   dispatch::attempt_end how,
                                   std::optional<core::duration> event_time)
    -> void
{
    auto message = report_message{service, request, false, true, how, {}, {}};
    if (this->local.uses_speeds()) {
        message.event_time = event_time;
    }
    this->queue_report(std::move(message));
    const auto found = this->placed_requests.find(request);
    if (found == this->placed_requests.end()) {
        return;
    }
    const auto& prompt = found->second.message.request.prompt;
    // The last part belongs to this request only; no other request shares it.
    if (how == dispatch::attempt_end::completed && prompt.size() > 1) {
        this->add_recent(std::move(found->second));
    }
    this->placed_requests.erase(found);
}

auto dispatch_client::keep_speed(const speed_report& speed) -> void
{
    this->stated_speeds[speed.upstream] = speed.stated;
    const auto& known = this->serving_state.upstreams();
    if (this->stated_speeds.size() > known.size()) {
        std::erase_if(this->stated_speeds, [&known](const auto& item) {
            return !known.contains(item.first);
        });
    }
}

auto dispatch_client::queue_report(report_message message) -> void
{
    const auto entry = this->placed_requests.find(message.request);
    if (entry == this->placed_requests.end()) {
        return;
    }
    const auto& upstream = entry->second.message.placed_at;
    const auto stated = this->stated_speeds.find(upstream);
    if (stated != this->stated_speeds.end() &&
        this->event_loop.now() - stated->second.at <
            upstream_speed::stated_lifetime) {
        message.speed = speed_report{upstream, stated->second};
    }
    this->queue_report(entry->second.owner, message);
}

auto dispatch_client::queue_report(const core::node_id& node,
                                   const report_message& message) -> void
{
    if (node == this->self) {
        this->local.report(message);
        return;
    }
    this->reports[node].push_back(message);
    if (!std::exchange(this->is_report_scheduled, true)) {
        this->report_timer.start(report_delay);
    }
}

auto dispatch_client::send_reports() -> void
{
    this->is_report_scheduled = false;
    for (const auto& [node, messages] : std::exchange(this->reports, {})) {
        this->mesh.call(node, report_topic,
                        encode(messages, this->event_loop.now()),
                        report_timeout, [](const auto&) {
                            // If the owner is lost, its record of placed
                            // requests is lost too, so the report is not
                            // repeated.
                        });
    }
}

auto dispatch_client::free_results(const serving::service_name& service,
                                   std::vector<std::string> handles) -> void
{
    auto by_owner = std::map<core::node_id, std::vector<std::string>>();
    for (auto& handle : handles) {
        const auto holder = adapter::result_holder(handle);
        const auto zone =
            holder ? this->serving_state.zone_at(*holder) : core::zone_name();
        by_owner[this->owner_of(service, zone)].push_back(std::move(handle));
    }
    for (auto& [node, held] : by_owner) {
        if (node == this->self) {
            this->local.free_results(service, held);
            continue;
        }
        this->mesh.call(node, free_topic,
                        encode(free_message{service, std::move(held)}),
                        report_timeout, [](const auto&) {
                            // If the message fails, the results expire after
                            // their lifetime.
                        });
    }
}

} // namespace almondtiller::gateway
