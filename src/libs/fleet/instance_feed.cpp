#include "fleet/instance_feed.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace almondtiller::fleet {

namespace {

using nlohmann::json;
using platform::instance;

/// Number of lists that are kept to compute differences.
constexpr auto max_versions = std::size_t(8);

auto to_json(const instance& item) -> json
{
    return json::array({item.id, unsigned(item.role), item.pool.str(),
                        item.zone.str(), item.region.str(), item.address,
                        item.peer_address, unsigned(item.state)});
}

auto to_instance(const json& item) -> instance
{
    auto field = std::size_t(0);
    const auto text = [&] {
        return item.at(field++).get<std::string>();
    };
    auto built = instance();
    built.id = text();
    built.role = item.at(field++).get<unsigned>() == 0
                     ? platform::instance_role::node
                     : platform::instance_role::upstream;
    built.pool = core::pool_name(text());
    built.zone = core::zone_name(text());
    built.region = core::region_name(text());
    built.address = text();
    built.peer_address = text();
    built.state = item.at(field).get<unsigned>() == 0
                      ? platform::instance_state::live
                      : platform::instance_state::leaving;
    return built;
}

auto compute_digest(const std::vector<instance>& listed) -> std::uint64_t
{
    if (listed.empty()) {
        return 0;
    }
    auto document = json::array();
    for (const auto& item : listed) {
        document.push_back(to_json(item));
    }
    const auto text = document.dump();
    return XXH3_64bits(text.data(), text.size());
}

/// \return \a base with the update applied, sorted by id.
auto apply_update(const std::vector<instance>& base,
                  const instance_update& update) -> std::vector<instance>
{
    auto merged = std::map<std::string, instance>();
    for (const auto& item : base) {
        merged.emplace(item.id, item);
    }
    for (const auto& id : update.removed) {
        merged.erase(id);
    }
    for (const auto& item : update.put) {
        merged.insert_or_assign(item.id, item);
    }
    auto listed = std::vector<instance>();
    for (auto& [id, item] : merged) {
        listed.push_back(std::move(item));
    }
    return listed;
}

} // namespace

auto encode_instances(const instance_update& update) -> std::string
{
    auto put = json::array();
    for (const auto& item : update.put) {
        put.push_back(to_json(item));
    }
    auto bytes = std::string();
    json::to_cbor(json::array({update.base, update.digest, update.age_ms,
                               update.removed, put}),
                  bytes);
    return bytes;
}

auto decode_instances(const std::string& bytes) -> core::result<instance_update>
{
    try {
        const auto document = json::from_cbor(bytes);
        auto field = std::size_t(0);
        auto update = instance_update();
        update.base = document.at(field++).get<std::uint64_t>();
        update.digest = document.at(field++).get<std::uint64_t>();
        update.age_ms = document.at(field++).get<std::int64_t>();
        update.removed = document.at(field++).get<std::vector<std::string>>();
        for (const auto& item : document.at(field)) {
            update.put.push_back(to_instance(item));
        }
        return update;
    } catch (const json::exception&) {
        return make_error_code(fleet_errc::malformed_message);
    }
}

auto instance_feed::observe(std::vector<instance> listed, core::time_point now)
    -> bool
{
    std::sort(listed.begin(), listed.end());
    this->observed_at = std::max(this->observed_at.value_or(now), now);
    return this->replace(std::move(listed));
}

auto instance_feed::apply(const instance_update& update, core::time_point now)
    -> core::result<bool>
{
    const auto when = now - core::milliseconds(update.age_ms);
    if (this->observed_at && when <= *this->observed_at) {
        return false;
    }
    if (update.base != 0 && update.base != this->digest()) {
        return make_error_code(fleet_errc::digest_mismatch);
    }
    const auto base =
        update.base == 0 ? std::vector<instance>() : this->instances();
    auto listed = apply_update(base, update);
    if (compute_digest(listed) != update.digest) {
        return make_error_code(fleet_errc::digest_mismatch);
    }
    this->observed_at = when;
    return this->replace(std::move(listed));
}

auto instance_feed::update_for(std::uint64_t peer_digest,
                               core::time_point now) const
    -> core::result<instance_update>
{
    if (!this->observed_at) {
        return make_error_code(fleet_errc::stale_revision);
    }
    const auto age = now - *this->observed_at;
    auto update = instance_update();
    update.digest = this->digest();
    update.age_ms = std::chrono::duration_cast<core::milliseconds>(age).count();
    const auto base = std::find_if(
        this->versions.begin(), this->versions.end(),
        [peer_digest](const auto& kept) { return kept.digest == peer_digest; });
    auto old = std::map<std::string, instance>();
    if (base != this->versions.end() && peer_digest != 0) {
        update.base = peer_digest;
        for (const auto& item : base->instances) {
            old.emplace(item.id, item);
        }
    }
    for (const auto& item : this->instances()) {
        const auto found = old.find(item.id);
        if (found == old.end() || found->second != item) {
            update.put.push_back(item);
        }
        old.erase(item.id);
    }
    for (const auto& [id, item] : old) {
        update.removed.push_back(id);
    }
    return update;
}

auto instance_feed::instances() const -> const std::vector<instance>&
{
    return this->versions.back().instances;
}

auto instance_feed::digest() const -> std::uint64_t
{
    return this->versions.back().digest;
}

auto instance_feed::observed() const -> std::optional<core::time_point>
{
    return this->observed_at;
}

auto instance_feed::replace(std::vector<instance> listed) -> bool
{
    const auto digest = compute_digest(listed);
    if (digest == this->digest()) {
        return false;
    }
    this->versions.push_back({digest, std::move(listed)});
    if (this->versions.size() > max_versions) {
        this->versions.pop_front();
    }
    return true;
}

} // namespace almondtiller::fleet
