#pragma once

#include "gateway_world/world_caller.h"

#include <map>
#include <string>
#include <vector>

namespace almondtiller::soak {

/// Checks that no stream is broken off while nothing that it depends on is
/// disturbed: its node, the upstreams that it reached, the services of its
/// stages and the links to its services. Disturbances of other nodes and of the
/// store are no excuse, nor is a sound upstream that is silent for a moment.
class stream_check
{
public:
    /// \param call A call on a streaming route; it must stay valid.
    auto on_request(const gateway_world::call_record& call, const void* node)
        -> void;

    /// A node is killed, stopped or paused.
    auto disturb_node(const void* node, core::time_point begin,
                      core::time_point end) -> void;

    /// An upstream that receives the streams itself fails.
    auto disturb_upstream(const std::string& id, core::time_point begin,
                          core::time_point end) -> void;

    /// An upstream of a stage, or the link to any upstream, fails.
    auto disturb_service(const std::string& service, core::time_point begin,
                         core::time_point end) -> void;

    /// \return A text for each stream that was broken off without a reason.
    [[nodiscard]] auto
    violations(const gateway_world::upstream_journal& journal) const
        -> std::vector<std::string>;

    /// \return The number of answered streams that nothing has disturbed.
    [[nodiscard]] auto
    undisturbed(const gateway_world::upstream_journal& journal) const
        -> std::size_t;

private:
    struct interval
    {
        core::time_point begin;
        core::time_point end;
    };
    struct sent_stream
    {
        const gateway_world::call_record* call;
        const void* node;
    };

    [[nodiscard]] auto
    is_undisturbed(const sent_stream& stream,
                   const gateway_world::upstream_journal& journal) const
        -> bool;

    std::vector<sent_stream> streams;
    std::map<const void*, std::vector<interval>> nodes;
    std::map<std::string, std::vector<interval>> upstreams;
    std::map<std::string, std::vector<interval>> services;
};

} // namespace almondtiller::soak
