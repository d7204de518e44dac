#pragma once

#include "core/result.h"
#include "dispatch/placement.h"
#include "dispatch/stage_queue.h"

#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::gateway {

/// What a node's machine can bear.
struct node_capacity
{
    double cores = 1;
    double link_mbps = 1000;

    auto operator==(const node_capacity&) const -> bool = default;
};

/// What a node says of itself with each heartbeat.
struct node_status
{
    /// Takes requests.
    bool is_ready = false;
    core::endpoint front;
    core::zone_name zone;
    node_capacity capacity;
    /// The store's revision of each kind that it has, by object_kind.
    std::vector<std::int64_t> revisions;
    /// Version of the configuration in force, 0 before the first.
    std::int64_t configuration = 0;
    /// Tells it from what the node has said before a restart.
    std::string incarnation;

    auto operator==(const node_status&) const -> bool = default;
};

/// A stage's pieces for the owner of a service.
struct stage_message
{
    serving::service_name service;
    dispatch::stage_work work;
};

/// A request for the owner of a service.
struct place_message
{
    serving::service_name service;
    dispatch::placement_request request;
    /// Where the request runs already; empty: it waits.
    core::upstream_id placed_at;
};

/// What has become of a placed request.
struct report_message
{
    serving::service_name service;
    core::request_id request;
    bool is_started = false;
    bool is_ended = false;
    dispatch::work_end how = dispatch::work_end::completed;
    /// An upstream of the service that is about to end; mostly empty.
    core::upstream_id leaving;

    auto operator==(const report_message&) const -> bool = default;
};

/// Results that are no longer needed.
struct free_message
{
    serving::service_name service;
    std::vector<std::string> handles;
};

// Times travel as milliseconds from now, as clocks of nodes differ. Messages
// that can't be read give fleet_errc::malformed_message.

[[nodiscard]] auto encode(const node_status& status) -> std::string;
[[nodiscard]] auto decode_status(std::string_view body)
    -> core::result<node_status>;

[[nodiscard]] auto encode(const stage_message& message, core::time_point now)
    -> std::string;
[[nodiscard]] auto decode_stage(std::string_view body, core::time_point now)
    -> core::result<stage_message>;
[[nodiscard]] auto encode(const dispatch::stage_outcome& outcome)
    -> std::string;
[[nodiscard]] auto decode_stage_outcome(std::string_view body)
    -> core::result<dispatch::stage_outcome>;

[[nodiscard]] auto encode(const place_message& message, core::time_point now)
    -> std::string;
[[nodiscard]] auto decode_place(std::string_view body, core::time_point now)
    -> core::result<place_message>;
[[nodiscard]] auto encode(const dispatch::placement_outcome& outcome)
    -> std::string;
[[nodiscard]] auto decode_placement_outcome(std::string_view body)
    -> core::result<dispatch::placement_outcome>;

[[nodiscard]] auto encode(const std::vector<report_message>& messages)
    -> std::string;
[[nodiscard]] auto decode_reports(std::string_view body)
    -> core::result<std::vector<report_message>>;

[[nodiscard]] auto encode(const free_message& message) -> std::string;
[[nodiscard]] auto decode_free(std::string_view body)
    -> core::result<free_message>;

} // namespace almondtiller::gateway
