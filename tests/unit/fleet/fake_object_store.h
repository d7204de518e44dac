#pragma once

#include "platform/object_store.h"

#include <functional>
#include <map>
#include <vector>

namespace almondtiller::fleet {

/// How the store handles one write.
enum class write_behavior
{
    answered,
    answer_lost, ///< Takes effect, but the caller gets outcome_unknown.
    unavailable, ///< Does not take effect; the caller gets unavailable.
    delayed,     ///< The caller gets outcome_unknown; deliver_delayed() writes.
};

/// An object store in memory. Single-threaded.
class fake_object_store : public platform::object_store
{
public:
    auto get(const platform::object_key& key, core::milliseconds timeout)
        -> core::result<platform::object> override;
    auto list(const std::string& kind, core::milliseconds timeout)
        -> core::result<platform::object_list> override;
    auto create(const platform::object_key& key, const std::string& value,
                core::milliseconds timeout)
        -> core::result<std::uint64_t> override;
    auto update(const platform::object_key& key, std::uint64_t expected,
                const std::string& value, core::milliseconds timeout)
        -> core::result<std::uint64_t> override;
    auto remove(const platform::object_key& key, std::uint64_t expected,
                core::milliseconds timeout) -> std::error_code override;
    auto watch(const std::string& kind, std::uint64_t after,
               core::milliseconds timeout)
        -> core::result<platform::watch_batch> override;
    auto instances(core::milliseconds timeout)
        -> core::result<std::vector<platform::instance>> override;

    /// Executes the delayed writes.
    auto deliver_delayed() -> void;

    /// Called with the object after each write that takes effect.
    std::function<void(const platform::object& written)> on_write =
        [](const auto&) {
        };

    /// Called before each write of the head; returns how to handle it.
    std::function<write_behavior()> head_write_behavior = [] {
        return write_behavior::answered;
    };
    /// Called before each read; true makes the read fail.
    std::function<bool()> is_down = [] {
        return false;
    };

private:
    auto write(const platform::object_key& key, std::uint64_t expected,
               const std::string& value) -> core::result<std::uint64_t>;
    auto put(const platform::object_key& key, std::uint64_t expected,
             const std::string& value) -> core::result<std::uint64_t>;

    std::uint64_t revision = 0;
    std::map<platform::object_key, platform::object> objects;
    std::vector<std::function<void()>> delayed;
};

} // namespace almondtiller::fleet
