#pragma once

#include "core/ids.h"
#include "http1/message.h"
#include "serving/engine_load.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::serving {

/// A part of a prompt. Several requests may have the same part.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;

    auto operator==(const prompt_part&) const -> bool = default;
};

/// A decoded request of a caller.
struct caller_request
{
    core::request_id id;
    std::string method;
    std::string target;
    std::string host;
    /// How long the caller waits for the response, from when it sent the
    /// request; empty if the caller set no deadline.
    std::optional<std::chrono::milliseconds> deadline;
    std::string api_key;
    std::uint32_t max_output_tokens = 0;
    /// The caller's estimate of the output length in tokens; 0 if none.
    std::uint32_t expected_output_tokens = 0;
    std::vector<prompt_part> prompt;
    /// Number of pieces of each stage; 0 skips the stage.
    std::vector<std::uint32_t> pieces;
    std::string piece_key;
    /// Id of the last event that the caller received, to resume a stream;
    /// empty for a new stream.
    std::string last_event;
    /// Header fields that are forwarded to the upstream unchanged.
    http1::header_list forwarded;
    std::string body;

    auto operator==(const caller_request&) const -> bool = default;
};

/// What a node adds to a request that it sends to an upstream.
struct upstream_send
{
    /// The upstream that must process the request; an instance that took over
    /// its address rejects it.
    core::upstream_id expected;
    std::chrono::milliseconds time_left{0};
    /// Empty if the route requires no API key.
    core::workspace_name workspace;
    /// Handles of the stage results that are the request's inputs.
    std::vector<std::string> inputs;
    /// Resume after the event with this id; empty to begin at the start.
    std::string last_event;
    /// 0 (most urgent) to 9; nothing for the upstream's default.
    std::optional<int> urgency;

    auto operator==(const upstream_send&) const -> bool = default;
};

/// What the head of an upstream's response states about the request and the
/// upstream.
struct upstream_verdict
{
    int status = 0;
    /// Whether the upstream states that it did not run the request.
    bool not_run = false;
    /// Whether callers take the status for a statement that the request has not
    /// run, whatever the upstream states.
    bool is_refusal = false;
    /// The request that the response belongs to; empty if not stated.
    core::request_id request;
    /// Whether the response has the seal field, which upstreams set on success.
    bool is_sealed = false;
    /// Whether the upstream is shutting down and accepts no new work.
    bool is_leaving = false;
    /// For how long this node must not send to the upstream; zero for no limit.
    std::chrono::milliseconds hold_off{0};
    /// Requests per second that the upstream accepts from all nodes together;
    /// empty if it states no limit.
    std::optional<double> request_limit;
    engine_load load;
    /// Whether the response is from the upstream that was addressed, so that
    /// what it leaves out counts as well.
    bool is_genuine = false;

    auto operator==(const upstream_verdict&) const -> bool = default;
};

/// A piece of a stage that an upstream is to run.
struct stage_item
{
    core::request_id request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    std::chrono::milliseconds time_left{0};
    /// The caller's piece key; for pieces that take no results as inputs.
    std::string key;
    /// Handles of the results that are the piece's inputs; empty if it has a
    /// key.
    std::vector<std::string> inputs;

    auto operator==(const stage_item&) const -> bool = default;
};

/// Why a piece was not completed.
enum class stage_failure
{
    none,
    late,       ///< Its deadline passed before it was started.
    input_lost, ///< One of its inputs no longer exists.
    no_room,    ///< The upstream has no room for the result.
    failed,     ///< The upstream failed.
};

struct stage_result
{
    /// Identifies the stored result; empty if the piece was not completed.
    std::string handle;
    stage_failure failure = stage_failure::none;

    auto operator==(const stage_result&) const -> bool = default;
};

} // namespace almondtiller::serving
