#include "services/upstreams/connection_pool.h"

#include <httplib.h>

#include <cstdlib>

namespace almondtiller::services {

namespace {

constexpr auto max_idle_per_address = std::size_t(64);

auto connect_to(const std::string& address) -> std::unique_ptr<httplib::Client>
{
    const auto colon = address.rfind(':');
    const auto host = address.substr(0, colon);
    const auto port =
        colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    auto client = std::make_unique<httplib::Client>(host, port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
}

} // namespace

connection_pool::connection_pool() = default;
connection_pool::~connection_pool() = default;

auto connection_pool::take(const std::string& address, bool fresh)
    -> std::unique_ptr<httplib::Client>
{
    if (!fresh) {
        const auto guard = std::lock_guard(this->mutex);
        auto& kept = this->idle[address];
        if (!kept.empty()) {
            auto client = std::move(kept.back());
            kept.pop_back();
            return client;
        }
    }
    return connect_to(address);
}

auto connection_pool::give_back(const std::string& address,
                                std::unique_ptr<httplib::Client> client) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto& kept = this->idle[address];
    if (kept.size() < max_idle_per_address) {
        kept.push_back(std::move(client));
    }
}

auto connection_pool::retain(const std::set<std::string>& addresses) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    std::erase_if(this->idle, [&addresses](const auto& entry) {
        return !addresses.contains(entry.first);
    });
}

} // namespace almondtiller::services
