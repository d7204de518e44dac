#include "tillerctl/node_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>

namespace almondtiller::tillerctl {

namespace {

using core::error_entry;

constexpr auto http_ok = 200;
constexpr auto http_accepted = 202;

constexpr auto entries = std::array{
    error_entry{int(node_client_errc::node_unreachable), "node_unreachable",
                "the node could not be reached"},
    error_entry{int(node_client_errc::node_refused), "node_refused",
                "the node refused the call"},
    error_entry{int(node_client_errc::malformed_answer), "malformed_answer",
                "the node's answer could not be understood"},
};

auto make_client(const std::string& address, core::milliseconds timeout)
    -> httplib::Client
{
    auto client = httplib::Client("http://" + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

auto status_error(const httplib::Result& answer) -> std::error_code
{
    if (!answer) {
        return node_client_errc::node_unreachable;
    }
    if (answer->status != http_ok && answer->status != http_accepted) {
        return node_client_errc::node_refused;
    }
    return {};
}

} // namespace

auto node_client_category() -> const core::table_category&
{
    static const auto category = core::table_category("node_client", entries);
    return category;
}

auto make_error_code(node_client_errc code) -> std::error_code
{
    return {int(code), node_client_category()};
}

auto get_json(const std::string& address, const std::string& path,
              core::milliseconds timeout) -> core::result<nlohmann::json>
{
    auto client = make_client(address, timeout);
    const auto answer = client.Get(path);
    if (const auto error = status_error(answer)) {
        return error;
    }
    auto document = nlohmann::json::parse(answer->body, nullptr, false);
    if (!document.is_object()) {
        return make_error_code(node_client_errc::malformed_answer);
    }
    return document;
}

auto post(const std::string& address, const std::string& path,
          core::milliseconds timeout) -> std::error_code
{
    auto client = make_client(address, timeout);
    return status_error(client.Post(path, "{}", "application/json"));
}

} // namespace almondtiller::tillerctl
