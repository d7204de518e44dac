#include "fake_object_store.h"

#include "fleet/config_head.h"
#include "platform/platform_errc.h"

namespace almondtiller::fleet {

using platform::platform_errc;

auto fake_object_store::get(const platform::object_key& key,
                            core::milliseconds /*timeout*/)
    -> core::result<platform::object>
{
    if (this->is_down()) {
        return make_error_code(platform_errc::unavailable);
    }
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
        return make_error_code(platform_errc::not_found);
    }
    return found->second;
}

auto fake_object_store::list(const std::string& kind,
                             core::milliseconds /*timeout*/)
    -> core::result<platform::object_list>
{
    auto found = platform::object_list{this->revision, {}};
    for (const auto& [key, object] : this->objects) {
        if (key.kind == kind) {
            found.objects.push_back(object);
        }
    }
    return found;
}

auto fake_object_store::create(const platform::object_key& key,
                               const std::string& value,
                               core::milliseconds /*timeout*/)
    -> core::result<std::uint64_t>
{
    return this->write(key, 0, value);
}

auto fake_object_store::update(const platform::object_key& key,
                               std::uint64_t expected, const std::string& value,
                               core::milliseconds /*timeout*/)
    -> core::result<std::uint64_t>
{
    return this->write(key, expected, value);
}

auto fake_object_store::remove(const platform::object_key& /*key*/,
                               std::uint64_t /*expected*/,
                               core::milliseconds /*timeout*/)
    -> std::error_code
{
    return platform_errc::unavailable;
}

auto fake_object_store::watch(const std::string& /*kind*/,
                              std::uint64_t /*after*/,
                              core::milliseconds /*timeout*/)
    -> core::result<platform::watch_batch>
{
    return platform::watch_batch{this->revision, {}};
}

auto fake_object_store::instances(core::milliseconds /*timeout*/)
    -> core::result<std::vector<platform::instance>>
{
    return std::vector<platform::instance>();
}

auto fake_object_store::deliver_delayed() -> void
{
    auto held = std::move(this->delayed);
    this->delayed.clear();
    for (const auto& write : held) {
        write();
    }
}

auto fake_object_store::write(const platform::object_key& key,
                              std::uint64_t expected, const std::string& value)
    -> core::result<std::uint64_t>
{
    const auto behavior = key.kind == config_kind ? this->head_write_behavior()
                                                  : write_behavior::answered;
    switch (behavior) {
    case write_behavior::answered:
        return this->put(key, expected, value);
    case write_behavior::answer_lost:
        static_cast<void>(this->put(key, expected, value));
        return make_error_code(platform_errc::outcome_unknown);
    case write_behavior::unavailable:
        return make_error_code(platform_errc::unavailable);
    case write_behavior::delayed:
        this->delayed.emplace_back([this, key, expected, value] {
            static_cast<void>(this->put(key, expected, value));
        });
        return make_error_code(platform_errc::outcome_unknown);
    }
    return make_error_code(platform_errc::unavailable);
}

auto fake_object_store::put(const platform::object_key& key,
                            std::uint64_t expected, const std::string& value)
    -> core::result<std::uint64_t>
{
    const auto found = this->objects.find(key);
    if (expected == 0 && found != this->objects.end()) {
        return make_error_code(platform_errc::already_exists);
    }
    if (expected != 0 && found == this->objects.end()) {
        return make_error_code(platform_errc::not_found);
    }
    if (expected != 0 && found->second.version != expected) {
        return make_error_code(platform_errc::version_conflict);
    }
    ++this->revision;
    this->objects[key] = {key, this->revision, value};
    this->on_write(this->objects[key]);
    return this->revision;
}

} // namespace almondtiller::fleet
