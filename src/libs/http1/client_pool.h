#pragma once

#include "event/loop.h"
#include "event/timer.h"
#include "http1/client_connection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::http1 {

/// The server of a call. Connections are pooled by key, so that a new server
/// that takes over an address does not get connections of the old one.
struct call_target
{
    std::string key;
    core::endpoint address;

    auto operator==(const call_target&) const -> bool = default;
};

struct call_options
{
    core::milliseconds connect_limit{400};
    /// Connections that were idle for longer are not reused: the server may
    /// close them while the request is being sent.
    core::milliseconds longest_idle{3000};
    /// A value that will identify the answer, if it is known before the call;
    /// empty otherwise. Connections that have carried an answer with this value
    /// are not used, as a copy of that answer could be taken for this one.
    std::string expected_value;
    bool has_no_body = false;
    /// The call fails if the response body is larger than this number of bytes;
    /// 0 means no limit, for bodies that are streamed.
    std::uint64_t largest_body = std::uint64_t(1) << 20U;
    /// Timeout of the whole call; 0 means that the call has none of its own.
    core::milliseconds longest{0};

    auto operator==(const call_options&) const -> bool = default;
};

/// Hooks of a pooled call.
struct pool_hooks
{
    /// Called when the request has been written to an open connection.
    std::function<void()> on_sent;
    std::function<void(response_head)> on_head;
    std::function<void(std::string_view)> on_body;
    /// Called when the answer is complete; see
    /// client_connection::check_answer(). May be empty for a server that sends
    /// each answer once.
    std::function<answer_identity()> identify;
    /// \param sent False if no byte of the request can have reached the server.
    std::function<void(std::error_code error, bool sent)> on_done;
};

/// Handle of one call; active until on_done is called or cancel().
class pooled_call
{
public:
    /// Cancels the call and closes its connection. No further hook is called.
    auto cancel() -> void;
    auto pause_reading() -> void;
    auto resume_reading() -> void;

private:
    friend class client_pool;
    std::shared_ptr<client_connection> connection;
    std::unique_ptr<event::timer> timeout_timer;
    bool is_finished = false;
};

/// Sends calls over pooled connections to servers. Destroying the pool cancels
/// the calls that are in flight. Must be used on the loop's thread only.
class client_pool
{
public:
    explicit client_pool(event::loop& event_loop);
    ~client_pool();
    client_pool(const client_pool&) = delete;
    auto operator=(const client_pool&) -> client_pool& = delete;

    auto call(const call_target& target, std::string request,
              const call_options& options, pool_hooks hooks)
        -> std::shared_ptr<pooled_call>;

    /// Closes idle connections whose target key \a is_wanted rejects, and those
    /// that were idle for too long.
    auto sweep(const std::function<bool(const std::string&)>& is_wanted)
        -> void;

    /// \return The number of connection attempts since construction.
    [[nodiscard]] auto opened() const -> std::uint64_t;

private:
    struct idle_connection
    {
        std::shared_ptr<client_connection> connection;
        core::time_point since;
    };
    auto take_idle(const std::string& key, const call_options& options)
        -> std::shared_ptr<client_connection>;
    auto send(const std::shared_ptr<pooled_call>& call, const std::string& key,
              std::string request, const call_options& options,
              pool_hooks hooks) -> void;
    auto start_timeout(const std::shared_ptr<pooled_call>& call,
                       core::milliseconds longest, pool_hooks& hooks) -> void;

    event::loop& event_loop;
    std::map<std::string, std::vector<idle_connection>> idle;
    /// Calls that may be in flight; cancelled by the destructor.
    std::vector<std::weak_ptr<pooled_call>> active_calls;
    std::uint64_t connect_count = 0;
    std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

} // namespace almondtiller::http1
