#pragma once

#include "fake_object_store.h"

#include "kernel/service.h"
#include "platform/platform_service.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// One object store shared by the nodes and operators of a test. The mutex
/// guards the store and the instances.
struct shared_objects
{
    std::mutex mutex;
    std::condition_variable changed;
    fake_object_store store;
    std::vector<platform::instance> instances;
    std::atomic<bool> is_down = false;
    std::atomic<std::uint64_t> calls = 0;
};

/// The service "platform" of one node, whose connection to the shared store can
/// be cut.
class shared_store : public kernel::service, public platform::object_store
{
public:
    explicit shared_store(shared_objects& objects);

    [[nodiscard]] auto name() const -> std::string_view override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;

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

    /// Whether calls of this node fail.
    std::atomic<bool> is_disconnected = false;

private:
    auto is_unavailable() -> bool;

    shared_objects& objects;
};

} // namespace almondtiller::fleet
