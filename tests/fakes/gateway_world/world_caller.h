#pragma once

#include "gateway_world/world.h"
#include "http1/client_pool.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::gateway_world {

/// What a caller asked and got.
struct call_record
{
    std::string id;
    std::string path;
    core::time_point sent;
    bool is_done = false;
    /// 0 if there was no answer.
    int status = 0;
    std::string body;
    bool is_whole = false;
    bool is_sealed = false;
    double retry_after = -1;
};

/// Callers of the world's routes; checks what they and the upstreams saw.
class world_caller
{
public:
    explicit world_caller(world& around);

    /// Sends a request on a route ("staged", "stream", "resumable", "read",
    /// "book").
    auto call(const core::endpoint& front, const std::string& path,
              const std::string& key = "key") -> call_record&;

    /// Prompts share a part with one in so many; 0: with all.
    /// \param tokens Size of that part.
    auto set_sessions(std::uint64_t sessions, std::uint64_t tokens = 60)
        -> void;

    /// Waits for a call's end.
    auto wait(const call_record& record) -> bool;

    /// \return What must not happen and did: runs of one request twice, refused
    ///         requests that ran, answers that are not the request's own.
    [[nodiscard]] auto faults() const -> std::vector<std::string>;

    [[nodiscard]] auto records() const
        -> const std::vector<std::unique_ptr<call_record>>&;
    [[nodiscard]] auto succeeded() const -> std::size_t;

private:
    world& around;
    http1::client_pool pool;
    std::vector<std::unique_ptr<call_record>> calls;
    std::uint64_t last = 0;
    std::uint64_t sessions = 0;
    std::uint64_t shared_tokens = 60;
};

} // namespace almondtiller::gateway_world
