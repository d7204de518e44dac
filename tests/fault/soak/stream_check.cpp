#include "stream_check.h"

#include <algorithm>

namespace almondtiller::soak {

namespace {

/// A stream that lasts this long may have reached its deadline.
constexpr auto longest_stream = core::milliseconds(2900);

template <typename Disturbances, typename Key>
auto is_disturbed(const Disturbances& disturbances, const Key& key,
                  const gateway_world::call_record& call) -> bool
{
    const auto found = disturbances.find(key);
    return found != disturbances.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&call](const auto& interval) {
                           return interval.begin <= call.ended &&
                                  interval.end >= call.sent;
                       });
}

auto is_used_by(const std::string& service, const std::string& path) -> bool
{
    return service == "model" ||
           (service != "desk" && path.starts_with("staged"));
}

} // namespace

auto stream_check::on_request(const gateway_world::call_record& call,
                              const void* node) -> void
{
    this->streams.push_back({&call, node});
}

auto stream_check::disturb_node(const void* node, core::time_point begin,
                                core::time_point end) -> void
{
    this->nodes[node].push_back({begin, end});
}

auto stream_check::disturb_upstream(const std::string& id,
                                    core::time_point begin,
                                    core::time_point end) -> void
{
    this->upstreams[id].push_back({begin, end});
}

auto stream_check::disturb_service(const std::string& service,
                                   core::time_point begin, core::time_point end)
    -> void
{
    this->services[service].push_back({begin, end});
}

auto stream_check::is_undisturbed(
    const sent_stream& stream,
    const gateway_world::upstream_journal& journal) const -> bool
{
    const auto& call = *stream.call;
    if (!call.is_done || call.status != 200 ||
        call.ended - call.sent > longest_stream ||
        is_disturbed(this->nodes, stream.node, call)) {
        return false;
    }
    return std::none_of(this->services.begin(), this->services.end(),
                        [this, &call](const auto& entry) {
                            return is_used_by(entry.first, call.path) &&
                                   is_disturbed(this->services, entry.first,
                                                call);
                        }) &&
           std::none_of(journal.arrivals.begin(), journal.arrivals.end(),
                        [this, &call](const auto& arrival) {
                            return arrival.request == call.id &&
                                   is_disturbed(this->upstreams,
                                                arrival.upstream, call);
                        });
}

auto stream_check::violations(const gateway_world::upstream_journal& journal)
    const -> std::vector<std::string>
{
    auto found = std::vector<std::string>();
    for (const auto& stream : this->streams) {
        const auto& call = *stream.call;
        if (!call.is_complete && this->is_undisturbed(stream, journal)) {
            const auto lasted = std::chrono::duration_cast<core::milliseconds>(
                call.ended - call.sent);
            found.push_back(call.id + " (" + call.path +
                            ") was broken off without a reason after " +
                            std::to_string(lasted.count()) + " ms");
        }
    }
    return found;
}

auto stream_check::undisturbed(
    const gateway_world::upstream_journal& journal) const -> std::size_t
{
    return std::size_t(std::count_if(this->streams.begin(), this->streams.end(),
                                     [this, &journal](const auto& stream) {
                                         return this->is_undisturbed(stream,
                                                                     journal);
                                     }));
}

} // namespace almondtiller::soak
