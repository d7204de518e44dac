#pragma once

#include "core/result.h"
#include "dispatch/placement.h"
#include "dispatch/prompt_quarantine.h"
#include "dispatch/stage_queue.h"
#include "serving/store_revision.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::gateway {

/// Capacity of a node's machine.
struct node_capacity
{
    double cores = 1;
    double link_mbps = 1000;

    auto operator==(const node_capacity&) const -> bool = default;
};

/// Status that a node sends with each heartbeat and gossip datagram.
struct node_status
{
    /// Whether the node takes requests.
    bool is_ready = false;
    core::endpoint front;
    core::zone_name zone;
    node_capacity capacity;
    /// Revision of the store that the node has of each kind of object, indexed
    /// by object_kind.
    std::vector<serving::store_revision> revisions;
    /// Version of the configuration in force, 0 before the first.
    std::int64_t configuration = 0;
    /// Distinguishes this status from those that the node sent before a
    /// restart.
    std::string incarnation;
    /// Prompt parts that the node has in quarantine.
    dispatch::part_hashes quarantined;
    /// Fingerprints of the requests that the node has in quarantine.
    dispatch::part_hashes quarantined_requests;

    auto operator==(const node_status&) const -> bool = default;
};

/// Pieces of a stage, sent to the owner of a service.
struct stage_message
{
    serving::service_name service;
    dispatch::stage_work work;
};

/// A request to be placed, sent to the owner of a service.
struct place_message
{
    serving::service_name service;
    dispatch::placement_request request;
    /// Upstream on which the request already runs; empty if the request is
    /// still to be placed.
    core::upstream_id placed_at;
};

/// What an upstream states about the rate of requests that it accepts.
struct limit_report
{
    core::upstream_id upstream;
    /// Requests per second; empty if an answer no longer stated a limit.
    std::optional<double> per_second;
    /// When the limit was stated; without a limit, when the request was sent
    /// whose answer stated none.
    core::time_point at;

    auto operator==(const limit_report&) const -> bool = default;
};

/// What an upstream states about the speed of its machine.
struct speed_report
{
    core::upstream_id upstream;
    upstream_speed::statement stated;

    auto operator==(const speed_report&) const -> bool = default;
};

/// Progress of a placed request, sent to the owner of a service.
struct report_message
{
    serving::service_name service;
    core::request_id request;
    bool is_started = false;
    bool is_ended = false;
    dispatch::attempt_end how = dispatch::attempt_end::completed;
    /// Upstream of the service that is about to shut down; usually empty.
    core::upstream_id leaving;
    /// Request limit of an upstream of the service; usually empty.
    std::optional<limit_report> limit;
    /// Speed of the upstream that has the request; empty if it did not state
    /// one recently.
    std::optional<speed_report> speed = std::nullopt;
    /// Mean time between the events of an answer that has ended; empty if it is
    /// not known.
    std::optional<core::duration> event_time = std::nullopt;

    auto operator==(const report_message&) const -> bool = default;
};

/// Results that are no longer needed, sent to the owner of a service.
struct free_message
{
    serving::service_name service;
    std::vector<std::string> handles;
};

// Times are sent as milliseconds from now, because the clocks of nodes differ.
// Decoding fails with fleet_errc::malformed_message if the message cannot be
// read.

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

[[nodiscard]] auto encode(const std::vector<report_message>& messages,
                          core::time_point now) -> std::string;
[[nodiscard]] auto decode_reports(std::string_view body, core::time_point now)
    -> core::result<std::vector<report_message>>;

[[nodiscard]] auto encode(const free_message& message) -> std::string;
[[nodiscard]] auto decode_free(std::string_view body)
    -> core::result<free_message>;

} // namespace almondtiller::gateway
