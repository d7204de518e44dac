#include "fleet/config_assembler.h"

#include "fleet/fleet_errc.h"

#include <algorithm>

namespace almondtiller::fleet {

namespace {

auto names_shard(const config_head& head, const std::string& digest) -> bool
{
    return std::any_of(
        head.shards.begin(), head.shards.end(),
        [&](const auto& shard) { return shard.digest == digest; });
}

/// \return \a base with the revision and the zone states of \a head.
auto with_head(const settings::snapshot& base, const config_head& head)
    -> settings::snapshot_ptr
{
    auto built = std::make_shared<settings::snapshot>(base);
    built->revision = head.revision;
    for (const auto& [name, state] : head.zones) {
        if (const auto zone = built->zones.find(name);
            zone != built->zones.end()) {
            zone->second.state = state;
        }
    }
    return built;
}

} // namespace

config_assembler::config_assembler()
    : snapshot(std::make_shared<settings::snapshot>())
{}

auto config_assembler::offer_head(const config_head& head) -> std::error_code
{
    if (head.revision <= this->newest_revision()) {
        return fleet_errc::stale_revision;
    }
    this->candidate = head;
    this->drop_unused_shards();
    return {};
}

auto config_assembler::offer_shard(const std::string& digest,
                                   const std::string& text) -> std::error_code
{
    if (shard_digest(text) != digest) {
        return fleet_errc::digest_mismatch;
    }
    if (!this->candidate || !names_shard(*this->candidate, digest)) {
        return fleet_errc::stale_revision;
    }
    this->texts.emplace(digest, text);
    return {};
}

auto config_assembler::missing() const -> std::vector<std::string>
{
    auto digests = std::vector<std::string>();
    if (this->candidate) {
        for (const auto& shard : this->candidate->shards) {
            if (!this->texts.contains(shard.digest)) {
                digests.push_back(shard.digest);
            }
        }
    }
    return digests;
}

auto config_assembler::advance() -> settings::snapshot_ptr
{
    if (!this->candidate || !this->missing().empty()) {
        return nullptr;
    }
    auto built = this->build();
    if (built) {
        this->snapshot = built;
        this->applied = *this->candidate;
    }
    this->candidate.reset();
    this->drop_unused_shards();
    return built;
}

auto config_assembler::build() -> settings::snapshot_ptr
{
    const auto& next = *this->candidate;
    if (next.shards == this->applied.shards) {
        return with_head(*this->snapshot, next);
    }
    const auto tree = merge_shards(next.shards, this->texts);
    if (!tree) {
        return nullptr;
    }
    return with_head(*settings::resolve(tree.value(), next.revision), next);
}

auto config_assembler::drop_unused_shards() -> void
{
    std::erase_if(this->texts, [this](const auto& entry) {
        const auto is_wanted =
            this->candidate && names_shard(*this->candidate, entry.first);
        return !is_wanted && !names_shard(this->applied, entry.first);
    });
}

auto config_assembler::in_force() const -> settings::snapshot_ptr
{
    return this->snapshot;
}

auto config_assembler::head() const -> const config_head&
{
    return this->applied;
}

auto config_assembler::newest_revision() const -> std::uint64_t
{
    return this->candidate ? this->candidate->revision : this->applied.revision;
}

auto config_assembler::shard(const std::string& digest) const
    -> std::optional<std::string>
{
    const auto found = this->texts.find(digest);
    return found == this->texts.end() ? std::nullopt
                                      : std::optional(found->second);
}

} // namespace almondtiller::fleet
