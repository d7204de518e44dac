#pragma once

#include "core/ids.h"
#include "http1/message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::serving {

/// A part of a prompt; requests share parts.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;

    auto operator==(const prompt_part&) const -> bool = default;
};

/// A caller's request, decoded.
struct caller_request
{
    core::request_id id;
    std::string method;
    std::string target;
    std::string host;
    /// What the caller will wait, from its sending.
    std::optional<std::chrono::milliseconds> deadline;
    std::string api_key;
    std::uint32_t max_output_tokens = 0;
    /// The caller's guess of the output; 0 if none.
    std::uint32_t expected_output_tokens = 0;
    std::vector<prompt_part> prompt;
    /// Pieces of each stage; 0 leaves a stage out.
    std::vector<std::uint32_t> pieces;
    std::string piece_key;
    /// The last event that the caller has of a resumed stream.
    std::string last_event;
    /// Fields that go to the upstream as they are.
    http1::header_list forwarded;
    std::string body;

    auto operator==(const caller_request&) const -> bool = default;
};

/// What the system adds when it sends a request to an upstream.
struct upstream_send
{
    core::upstream_id expected;
    std::chrono::milliseconds time_left{0};
    /// Empty: the route needs no key.
    core::workspace_name workspace;
    /// Handles of the results that the upstream takes.
    std::vector<std::string> inputs;
    /// Resume after this event; empty: from the start.
    std::string last_event;
    /// 0 (first) to 9; nothing: the upstream's default.
    std::optional<int> urgency;

    auto operator==(const upstream_send&) const -> bool = default;
};

/// What an upstream says with the head of its answer.
struct upstream_verdict
{
    int status = 0;
    /// The upstream did not run the request.
    bool not_run = false;
    /// The answer belongs to this request; empty if it does not say.
    core::request_id request;
    bool is_sealed = false;
    /// The upstream is about to end and wants no new work.
    bool is_leaving = false;
    /// The upstream wants nothing from this node for that long.
    std::chrono::milliseconds hold_off{0};

    auto operator==(const upstream_verdict&) const -> bool = default;
};

/// One piece of a stage to be done.
struct stage_item
{
    core::request_id request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    std::chrono::milliseconds time_left{0};
    /// For stages that take no results.
    std::string key;
    /// Handles of all pieces that it takes.
    std::vector<std::string> inputs;

    auto operator==(const stage_item&) const -> bool = default;
};

/// Why a piece was not done.
enum class stage_failure
{
    none,
    late,       ///< Its time was over at its turn.
    input_lost, ///< One of its input results was lost.
    no_room,    ///< The upstream has no room for the result.
    failed,     ///< The upstream failed.
};

struct stage_result
{
    /// Where the result is; empty if the piece was not done.
    std::string handle;
    stage_failure failure = stage_failure::none;

    auto operator==(const stage_result&) const -> bool = default;
};

} // namespace almondtiller::serving
