#include "fleet/config_assembler.h"

#include "fleet/fleet_errc.h"

#include <algorithm>

namespace almondtiller::fleet {

namespace {

auto references_shard(const config_head& head, const std::string& digest)
    -> bool
{
    return std::any_of(
        head.shards.begin(), head.shards.end(),
        [&](const auto& shard) { return shard.digest == digest; });
}

/// \return \a base with the revision and the zone states of \a head.
auto apply_head(const settings::snapshot& base, const config_head& head)
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
    this->candidate_head = head;
    this->drop_unused_shards();
    return {};
}

auto config_assembler::offer_shard(const std::string& digest,
                                   const std::string& text) -> std::error_code
{
    if (shard_digest(text) != digest) {
        return fleet_errc::digest_mismatch;
    }
    if (!this->candidate_head ||
        !references_shard(*this->candidate_head, digest)) {
        return fleet_errc::stale_revision;
    }
    this->texts.emplace(digest, text);
    return {};
}

auto config_assembler::missing() const -> std::vector<std::string>
{
    auto digests = std::vector<std::string>();
    if (this->candidate_head) {
        for (const auto& shard : this->candidate_head->shards) {
            if (!this->texts.contains(shard.digest)) {
                digests.push_back(shard.digest);
            }
        }
    }
    return digests;
}

auto config_assembler::advance() -> settings::snapshot_ptr
{
    if (!this->candidate_head || !this->missing().empty()) {
        return nullptr;
    }
    auto built = this->build();
    if (built) {
        this->snapshot = built;
        this->applied_head = *this->candidate_head;
    }
    this->candidate_head.reset();
    this->drop_unused_shards();
    return built;
}

auto config_assembler::build() -> settings::snapshot_ptr
{
    const auto& next = *this->candidate_head;
    if (next.shards == this->applied_head.shards) {
        return apply_head(*this->snapshot, next);
    }
    const auto tree = merge_shards(next.shards, this->texts);
    if (!tree) {
        return nullptr;
    }
    return apply_head(*settings::resolve(tree.value(), next.revision), next);
}

auto config_assembler::drop_unused_shards() -> void
{
    std::erase_if(this->texts, [this](const auto& entry) {
        const auto is_wanted =
            this->candidate_head &&
            references_shard(*this->candidate_head, entry.first);
        return !is_wanted && !references_shard(this->applied_head, entry.first);
    });
}

auto config_assembler::in_force() const -> settings::snapshot_ptr
{
    return this->snapshot;
}

auto config_assembler::head() const -> const config_head&
{
    return this->applied_head;
}

auto config_assembler::newest_revision() const -> std::uint64_t
{
    return this->candidate_head ? this->candidate_head->revision
                                : this->applied_head.revision;
}

auto config_assembler::shard(const std::string& digest) const
    -> std::optional<std::string>
{
    const auto found = this->texts.find(digest);
    return found == this->texts.end() ? std::nullopt
                                      : std::optional(found->second);
}

} // namespace almondtiller::fleet
