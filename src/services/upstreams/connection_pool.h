#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace almondtiller::services {

/// Kept-alive connections to upstreams, by address. Thread-safe.
class connection_pool
{
public:
    connection_pool();
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    auto operator=(const connection_pool&) -> connection_pool& = delete;

    /// \param fresh Whether the connection must not have been used before.
    auto take(const std::string& address, bool fresh)
        -> std::unique_ptr<httplib::Client>;

    /// Keeps a connection for later calls.
    auto give_back(const std::string& address,
                   std::unique_ptr<httplib::Client> client) -> void;

    /// Closes the kept connections to all other addresses.
    auto retain(const std::set<std::string>& addresses) -> void;

private:
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle;
};

} // namespace almondtiller::services
