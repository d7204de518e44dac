#pragma once

#include "net.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace review {

/// A stand-in of the platform's store. It keeps the text of each object's
/// content as it was written.
class store
{
public:
    store();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Writes an object, as the operator or an engine does. The call returns
    /// when the store has acknowledged the write.
    auto put(const std::string& kind, const std::string& name,
             const std::string& content) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;
    [[nodiscard]] auto count(const std::string& kind) -> std::size_t;

private:
    struct object
    {
        std::string content;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };
    struct change
    {
        std::int64_t revision;
        std::string kind;
        std::string event;
    };

    [[nodiscard]] static auto text_of(const std::string& name,
                                      const object& one) -> std::string;
    auto write(const std::string& kind, const std::string& name,
               const std::string& content) -> std::string;
    auto erase(const std::string& kind, const std::string& name) -> void;
    auto serve(connection& caller) -> void;
    auto answer(const message& request) -> std::string;
    auto list(const std::string& kind) -> std::string;
    auto watch(const std::string& kind, std::int64_t since,
               milliseconds longest) -> std::string;
    auto change_object(const message& request, const std::string& kind,
                       const std::string& name, std::int64_t condition)
        -> std::string;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, object>> objects;
    std::vector<change> history;
    std::int64_t revision = 1;
    server listener;
};

} // namespace review
