#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace review {

using json = nlohmann::json;

/// Stand-in of the platform's store: lists, watches, and writes under the
/// condition of a revision.
class store
{
public:
    store();

    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Writes an object, as the operator or an engine would.
    auto put(const std::string& kind, const std::string& name, json spec)
        -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;
    auto stop() -> void;

private:
    struct change
    {
        std::int64_t revision;
        std::string kind;
        json event;
    };

    auto serve(connection& client) -> void;
    auto answer(const message& request) -> std::string;
    auto list(const std::string& kind) -> std::string;
    auto watch(const std::string& kind, std::int64_t since, ms wait)
        -> std::string;
    auto write(const message& request, const std::string& kind,
               const std::string& name) -> std::string;
    auto put_locked(const std::string& kind, const std::string& name, json spec)
        -> json;
    auto remove_locked(const std::string& kind, const std::string& name)
        -> void;

    std::mutex guard;
    std::condition_variable changed;
    bool is_stopped = false;
    std::int64_t revision = 1;
    std::map<std::string, std::map<std::string, json>> objects;
    std::vector<change> history;
    /// Last member: its threads use the others.
    server listener;
};

} // namespace review
