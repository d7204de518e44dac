#pragma once

#include "gateway_world/world.h"
#include "http1/client_pool.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::gateway_world {

/// A caller's request and its answer.
struct call_record
{
    std::string id;
    std::string path;
    core::time_point sent;
    bool is_done = false;
    /// When the answer or its connection ended.
    core::time_point ended;
    /// HTTP status; 0 if there was no answer.
    int status = 0;
    std::string body;
    bool is_complete = false;
    bool is_sealed = false;
    double retry_after = -1;
};

/// What a request states about its stages.
struct stage_fields
{
    /// Number of pieces of each stage.
    std::string pieces = "2,3";
    /// The piece key; no field if empty.
    std::string key = expected_piece_key;

    auto operator==(const stage_fields&) const -> bool = default;
};

/// Sends requests to the world's routes, and checks their answers against the
/// requests that upstreams received.
class world_caller
{
public:
    explicit world_caller(world& environment);

    /// Sends a request on a route ("staged", "staged_resumable", "stream",
    /// "resumable", "read", "book").
    auto call(const core::endpoint& front, const std::string& path,
              const std::string& key = "key") -> call_record&;

    /// Sets how many sessions the requests are spread over. Prompts of one
    /// session share a prefix.
    /// \param sessions Number of sessions; 0: one for all requests.
    /// \param tokens Size of the shared prefix in tokens.
    auto set_sessions(std::uint64_t sessions, std::uint64_t tokens = 60)
        -> void;

    /// Sets the prompt of the requests, as a list of parts; by default it
    /// consists of a part of the session and one of the request.
    auto set_prompt(std::string parts) -> void;

    /// Sets the body of the requests that have one; by default it names the
    /// request.
    auto set_body(std::string text) -> void;

    /// Sets how many pieces each stage of a request has.
    auto set_pieces(std::string counts) -> void;

    /// Sets the piece key of the requests; none if empty.
    auto set_piece_key(std::string key) -> void;

    /// Waits until a call has ended.
    /// \return False if it has not ended within the callers' timeout.
    auto wait(const call_record& record) -> bool;

    /// \return A text for each violation: requests that ran twice but must not
    ///         be repeated, rejected requests that ran, wrong answers, and
    ///         incomplete answers that are no part of the right one or have a
    ///         part of an event.
    [[nodiscard]] auto violations() const -> std::vector<std::string>;

    [[nodiscard]] auto records() const
        -> const std::vector<std::unique_ptr<call_record>>&;
    [[nodiscard]] auto succeeded() const -> std::size_t;

private:
    world& environment;
    http1::client_pool pool;
    std::vector<std::unique_ptr<call_record>> calls;
    std::uint64_t last_number = 0;
    std::uint64_t sessions = 0;
    std::uint64_t shared_tokens = 60;
    std::string prompt;
    std::string body;
    stage_fields stages;
};

} // namespace almondtiller::gateway_world
