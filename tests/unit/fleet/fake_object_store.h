#pragma once

#include "platform/object_store.h"

#include <functional>
#include <map>
#include <vector>

namespace almondtiller::fleet {

/// What happens to one write.
enum class write_fate
{
    answered,
    answer_lost, ///< Takes effect; the caller does not learn it.
    unavailable, ///< Does not take effect, and the caller learns that.
    delayed,     ///< The answer is lost; deliver_delayed() makes the write.
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

    /// Makes the writes that were held back.
    auto deliver_delayed() -> void;

    /// Called with the value of each write that takes effect.
    std::function<void(const platform::object& written)> on_write =
        [](const auto&) {
        };

    /// Decides what happens to a write of the head; called before it.
    std::function<write_fate()> head_fate = [] {
        return write_fate::answered;
    };
    /// Called before each read; true fails it.
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
