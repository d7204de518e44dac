#pragma once

#include "platform/object_store.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace almondtiller::platform {

/// Client of the object API over HTTP/1.1 with a pool of persistent
/// connections. Thread-safe. Calls block on sockets; timeouts are measured in
/// real time.
class http_object_store : public object_store
{
public:
    /// \param address IP:port, for example 127.0.0.1:7000.
    explicit http_object_store(const std::string& address);
    ~http_object_store() override;

    auto get(const object_key& key, core::milliseconds timeout)
        -> core::result<object> override;
    auto list(const std::string& kind, core::milliseconds timeout)
        -> core::result<object_list> override;
    auto create(const object_key& key, const std::string& value,
                core::milliseconds timeout)
        -> core::result<std::uint64_t> override;
    auto update(const object_key& key, std::uint64_t expected,
                const std::string& value, core::milliseconds timeout)
        -> core::result<std::uint64_t> override;
    auto remove(const object_key& key, std::uint64_t expected,
                core::milliseconds timeout) -> std::error_code override;
    auto watch(const std::string& kind, std::uint64_t after,
               core::milliseconds timeout)
        -> core::result<watch_batch> override;
    auto instances(core::milliseconds timeout)
        -> core::result<std::vector<instance>> override;

    /// Aborts all calls in progress with platform_errc::unavailable or
    /// outcome_unknown and rejects new ones. Idempotent.
    auto stop() -> void;

private:
    struct http_call;
    class pooled_connection;
    struct http_response;

    auto send(const http_call& call) -> core::result<http_response>;
    auto write(const http_call& call) -> core::result<std::uint64_t>;

    std::string host;
    int port = 0;
    std::mutex mutex;
    bool stopped = false;
    std::vector<std::unique_ptr<httplib::Client>> idle_clients;
    std::vector<httplib::Client*> busy_clients;
};

} // namespace almondtiller::platform
