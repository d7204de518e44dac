#include "platform/http_object_store.h"

#include "platform/platform_errc.h"
#include "platform/wire.h"

#include <httplib.h>

#include <algorithm>

namespace almondtiller::platform {

namespace {

constexpr auto http_ok = 200;
constexpr auto http_created = 201;
constexpr auto http_not_found = 404;
constexpr auto http_conflict = 409;
constexpr auto http_gone = 410;
constexpr auto http_precondition_failed = 412;
constexpr auto http_too_large = 413;
constexpr auto http_too_many_requests = 429;
constexpr auto http_bad_gateway = 502;
constexpr auto http_gateway_timeout = 504;

/// Added to the timeout of a watch for its connection, so that the platform's
/// response still arrives when the watch times out.
constexpr auto watch_timeout_margin = core::milliseconds(1000);

auto status_error(int status) -> std::error_code
{
    switch (status) {
    case http_ok:
    case http_created:
        return {};
    case http_not_found:
        return platform_errc::not_found;
    case http_conflict:
        return platform_errc::already_exists;
    case http_gone:
        return platform_errc::watch_expired;
    case http_precondition_failed:
        return platform_errc::version_conflict;
    case http_too_large:
        return platform_errc::value_too_large;
    case http_too_many_requests:
        return platform_errc::rate_limited;
    case http_bad_gateway:
    case http_gateway_timeout:
        return platform_errc::outcome_unknown;
    default:
        return platform_errc::unavailable;
    }
}

auto was_never_sent(httplib::Error error) -> bool
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

auto object_path(const object_key& key) -> std::string
{
    return "/v1/objects/" + key.kind + "/" + key.name;
}

auto split_address(const std::string& address) -> std::pair<std::string, int>
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {address, 0};
    }
    return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

} // namespace

/// A request to the platform; methods other than GET are writes.
struct http_object_store::http_call
{
    std::string method;
    std::string path;
    std::string header_name;
    std::string header_value;
    std::string body;
    core::milliseconds timeout;
};

struct http_object_store::http_response
{
    std::string body;
};

/// Takes a connection from the pool and returns it at the end of a call. The
/// client is empty if the store is stopped.
class http_object_store::pooled_connection
{
public:
    explicit pooled_connection(http_object_store& store) : store(store)
    {
        const auto guard = std::lock_guard(store.mutex);
        if (store.stopped) {
            return;
        }
        if (store.idle_clients.empty()) {
            this->client =
                std::make_unique<httplib::Client>(store.host, store.port);
            this->client->set_keep_alive(true);
            this->client->set_tcp_nodelay(true);
        } else {
            this->client = std::move(store.idle_clients.back());
            store.idle_clients.pop_back();
        }
        store.busy_clients.push_back(this->client.get());
    }

    ~pooled_connection()
    {
        if (!this->client) {
            return;
        }
        const auto guard = std::lock_guard(this->store.mutex);
        std::erase(this->store.busy_clients, this->client.get());
        this->store.idle_clients.push_back(std::move(this->client));
    }

    pooled_connection(const pooled_connection&) = delete;
    auto operator=(const pooled_connection&) -> pooled_connection& = delete;

    std::unique_ptr<httplib::Client> client;

private:
    http_object_store& store;
};

http_object_store::http_object_store(const std::string& address)
{
    std::tie(this->host, this->port) = split_address(address);
}

http_object_store::~http_object_store()
{
    this->stop();
}

auto http_object_store::stop() -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->stopped = true;
    for (auto* client : this->busy_clients) {
        client->stop();
    }
}

auto http_object_store::send(const http_call& call)
    -> core::result<http_response>
{
    const auto lease = pooled_connection(*this);
    if (!lease.client) {
        return make_error_code(platform_errc::unavailable);
    }
    lease.client->set_connection_timeout(call.timeout);
    lease.client->set_read_timeout(call.timeout);
    lease.client->set_write_timeout(call.timeout);
    auto request = httplib::Request();
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    if (!call.header_name.empty()) {
        request.set_header(call.header_name, call.header_value);
    }
    if (!call.body.empty()) {
        request.set_header("Content-Type", "application/json");
    }
    auto answer = lease.client->send(request);
    if (!answer) {
        const auto is_read = call.method == "GET";
        return make_error_code(is_read || was_never_sent(answer.error())
                                   ? platform_errc::unavailable
                                   : platform_errc::outcome_unknown);
    }
    if (const auto error = status_error(answer->status)) {
        return error;
    }
    return http_response{std::move(answer->body)};
}

auto http_object_store::write(const http_call& call)
    -> core::result<std::uint64_t>
{
    BOOST_OUTCOME_TRY(answer, this->send(call));
    return decode_version(answer.body);
}

auto http_object_store::get(const object_key& key, core::milliseconds timeout)
    -> core::result<object>
{
    BOOST_OUTCOME_TRY(
        answer, this->send({"GET", object_path(key), "", "", "", timeout}));
    return decode_object(answer.body);
}

auto http_object_store::list(const std::string& kind,
                             core::milliseconds timeout)
    -> core::result<object_list>
{
    BOOST_OUTCOME_TRY(answer, this->send({"GET", "/v1/objects/" + kind, "", "",
                                          "", timeout}));
    return decode_list(answer.body);
}

auto http_object_store::create(const object_key& key, const std::string& value,
                               core::milliseconds timeout)
    -> core::result<std::uint64_t>
{
    if (value.size() > max_value_bytes) {
        return make_error_code(platform_errc::value_too_large);
    }
    return this->write(
        {"PUT", object_path(key), "If-None-Match", "*", value, timeout});
}

auto http_object_store::update(const object_key& key, std::uint64_t expected,
                               const std::string& value,
                               core::milliseconds timeout)
    -> core::result<std::uint64_t>
{
    if (value.size() > max_value_bytes) {
        return make_error_code(platform_errc::value_too_large);
    }
    return this->write({"PUT", object_path(key), "If-Match",
                        std::to_string(expected), value, timeout});
}

auto http_object_store::remove(const object_key& key, std::uint64_t expected,
                               core::milliseconds timeout) -> std::error_code
{
    const auto answer = this->send({"DELETE", object_path(key), "If-Match",
                                    std::to_string(expected), "", timeout});
    return answer ? std::error_code() : answer.error();
}

auto http_object_store::watch(const std::string& kind, std::uint64_t after,
                              core::milliseconds timeout)
    -> core::result<watch_batch>
{
    const auto path = "/v1/watch/" + kind + "?after=" + std::to_string(after) +
                      "&timeout_ms=" + std::to_string(timeout.count());
    BOOST_OUTCOME_TRY(answer, this->send({"GET", path, "", "", "",
                                          timeout + watch_timeout_margin}));
    return decode_watch(answer.body);
}

auto http_object_store::instances(core::milliseconds timeout)
    -> core::result<std::vector<instance>>
{
    BOOST_OUTCOME_TRY(
        answer, this->send({"GET", "/v1/instances", "", "", "", timeout}));
    return decode_instances(answer.body);
}

} // namespace almondtiller::platform
