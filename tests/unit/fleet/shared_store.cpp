#include "shared_store.h"

#include "platform/platform_errc.h"

namespace almondtiller::fleet {

using platform::platform_errc;

shared_store::shared_store(shared_objects& objects) : objects(objects)
{}

auto shared_store::name() const -> std::string_view
{
    return platform::platform_service_name;
}

auto shared_store::initialize(kernel::service_kernel& kernel) -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto shared_store::is_unavailable() -> bool
{
    ++this->objects.calls;
    return this->is_disconnected || this->objects.is_down;
}

auto shared_store::get(const platform::object_key& key,
                       core::milliseconds timeout)
    -> core::result<platform::object>
{
    if (this->is_unavailable()) {
        return make_error_code(platform_errc::unavailable);
    }
    const auto guard = std::lock_guard(this->objects.mutex);
    return this->objects.store.get(key, timeout);
}

auto shared_store::list(const std::string& kind, core::milliseconds timeout)
    -> core::result<platform::object_list>
{
    if (this->is_unavailable()) {
        return make_error_code(platform_errc::unavailable);
    }
    const auto guard = std::lock_guard(this->objects.mutex);
    return this->objects.store.list(kind, timeout);
}

auto shared_store::create(const platform::object_key& key,
                          const std::string& value, core::milliseconds timeout)
    -> core::result<std::uint64_t>
{
    if (this->is_unavailable()) {
        return make_error_code(platform_errc::unavailable);
    }
    const auto guard = std::lock_guard(this->objects.mutex);
    this->objects.changed.notify_all();
    return this->objects.store.create(key, value, timeout);
}

auto shared_store::update(const platform::object_key& key,
                          std::uint64_t expected, const std::string& value,
                          core::milliseconds timeout)
    -> core::result<std::uint64_t>
{
    if (this->is_unavailable()) {
        return make_error_code(platform_errc::unavailable);
    }
    const auto guard = std::lock_guard(this->objects.mutex);
    this->objects.changed.notify_all();
    return this->objects.store.update(key, expected, value, timeout);
}

auto shared_store::remove(const platform::object_key& key,
                          std::uint64_t expected, core::milliseconds timeout)
    -> std::error_code
{
    const auto guard = std::lock_guard(this->objects.mutex);
    return this->objects.store.remove(key, expected, timeout);
}

auto shared_store::watch(const std::string& kind, std::uint64_t after,
                         core::milliseconds timeout)
    -> core::result<platform::watch_batch>
{
    if (this->is_unavailable()) {
        return make_error_code(platform_errc::unavailable);
    }
    auto lock = std::unique_lock(this->objects.mutex);
    auto batch = platform::watch_batch();
    this->objects.changed.wait_for(lock, timeout, [&] {
        const auto listed = this->objects.store.list(kind, timeout).value();
        batch.revision = listed.revision;
        for (const auto& object : listed.objects) {
            if (object.version > after) {
                batch.events.push_back(
                    {platform::watch_event_kind::put, object});
            }
        }
        return !batch.events.empty() || this->is_disconnected ||
               this->objects.is_down;
    });
    return batch;
}

auto shared_store::instances(core::milliseconds /*timeout*/)
    -> core::result<std::vector<platform::instance>>
{
    if (this->is_unavailable()) {
        return make_error_code(platform_errc::unavailable);
    }
    const auto guard = std::lock_guard(this->objects.mutex);
    return this->objects.instances;
}

} // namespace almondtiller::fleet
