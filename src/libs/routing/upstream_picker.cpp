#include "routing/upstream_picker.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace almondtiller::routing {

namespace {

constexpr auto hints_kept = std::size_t(16384);
constexpr auto draws = 8;
/// Prefix affinity takes precedence over load balancing up to a utilisation of
/// affinity_factor times the pool's mean plus affinity_margin. The absolute
/// margin is for idle pools.
constexpr auto affinity_factor = 1.25;
constexpr auto affinity_margin = 0.1;

auto contains(const std::vector<std::uint32_t>& list, std::uint32_t index)
    -> bool
{
    return std::ranges::find(list, index) != list.end();
}

} // namespace

auto upstream_picker::set_members(std::vector<member> members) -> void
{
    this->members = std::move(members);
    this->hashes.clear();
    this->local.clear();
    this->remote.clear();
    this->positions.clear();
    auto index = std::uint32_t(0);
    for (const auto& placed : this->members) {
        this->hashes.push_back(placement_hash(placed.id.str()));
        (placed.is_local ? this->local : this->remote).push_back(index);
        this->positions.emplace(placed.id, index);
        ++index;
    }
}

auto upstream_picker::note(const cache_hint& hint) -> void
{
    const auto found = this->cached.find(hint.prefix_hash);
    if (hint.stored) {
        if (this->cached.size() >= hints_kept) {
            this->cached.clear();
        }
        this->cached.insert_or_assign(hint.prefix_hash, hint.id);
    } else if (found != this->cached.end() && found->second == hint.id) {
        this->cached.erase(found);
    }
}

auto upstream_picker::excluded_indices(const work& wanted,
                                       const conditions& now) const
    -> index_list
{
    auto excluded = index_list();
    for (const auto& id : wanted.excluded) {
        const auto found = this->positions.find(id);
        if (found != this->positions.end()) {
            excluded.push_back(found->second);
        }
    }
    if (excluded.empty()) {
        return excluded;
    }
    for (auto index = std::uint32_t(0); index < this->members.size(); ++index) {
        if (!contains(excluded, index) && now.is_serviceable(index)) {
            return excluded;
        }
    }
    return {};
}

auto upstream_picker::pick(const work& wanted, const conditions& now,
                           core::random_source& random) const
    -> std::optional<std::uint32_t>
{
    const auto excluded = this->excluded_indices(wanted, now);
    if (wanted.prefix_hash.has_value()) {
        const auto chosen =
            this->pick_by_prefix(*wanted.prefix_hash, excluded, now);
        if (chosen.has_value()) {
            return chosen;
        }
    }
    const auto near = this->pick_of_two(this->local, excluded, now, random);
    // The advantage of a remote upstream cannot exceed the utilisation of the
    // local one, so that remote upstreams need not be considered.
    if (near.has_value() && near->utilisation <= now.spill_threshold) {
        return near->index;
    }
    const auto far = this->pick_of_two(this->remote, excluded, now, random);
    if (!far.has_value()) {
        return near.has_value() ? std::optional(near->index) : std::nullopt;
    }
    const auto stays =
        near.has_value() &&
        near->utilisation <= far->utilisation + now.spill_threshold;
    return stays ? near->index : far->index;
}

auto upstream_picker::pick_by_prefix(std::uint64_t prefix,
                                     const index_list& excluded,
                                     const conditions& now) const
    -> std::optional<std::uint32_t>
{
    const auto bound = affinity_factor * now.mean_utilisation + affinity_margin;
    const auto fits = [&](std::uint32_t index) {
        if (contains(excluded, index)) {
            return false;
        }
        const auto load = now.utilisation(index);
        return load.has_value() && *load <= bound;
    };
    const auto hint = this->cached.find(prefix);
    if (hint != this->cached.end()) {
        const auto place = this->positions.find(hint->second);
        if (place != this->positions.end() &&
            this->members[place->second].is_local && fits(place->second)) {
            return place->second;
        }
    }
    auto best = std::optional<std::uint32_t>();
    auto best_weight = std::uint64_t(0);
    for (const auto index : this->local) {
        const auto weight = rendezvous_weight(prefix, this->hashes[index]);
        if ((!best.has_value() || weight > best_weight) && fits(index)) {
            best = index;
            best_weight = weight;
        }
    }
    return best;
}

auto upstream_picker::pick_of_two(const index_list& candidates,
                                  const index_list& excluded,
                                  const conditions& now,
                                  core::random_source& random) const
    -> std::optional<choice>
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto best = std::optional<choice>();
    auto found = 0;
    for (auto draw = 0; draw < draws && found < 2; ++draw) {
        const auto index = candidates[random.below(candidates.size())];
        const auto is_drawn_again = best.has_value() && best->index == index;
        if (is_drawn_again || contains(excluded, index)) {
            continue;
        }
        const auto load = now.utilisation(index);
        if (!load.has_value()) {
            continue;
        }
        ++found;
        if (!best.has_value() || *load < best->utilisation) {
            best = choice{index, *load};
        }
    }
    if (best.has_value()) {
        return best;
    }
    const auto first = std::size_t(random.below(candidates.size()));
    return this->scan(candidates, first, excluded, now);
}

auto upstream_picker::scan(const index_list& candidates, std::size_t first,
                           const index_list& excluded,
                           const conditions& now) const -> std::optional<choice>
{
    auto best = std::optional<choice>();
    for (auto step = std::size_t(0); step < candidates.size(); ++step) {
        const auto index = candidates[(first + step) % candidates.size()];
        if (contains(excluded, index)) {
            continue;
        }
        const auto load = now.utilisation(index);
        if (load.has_value() &&
            (!best.has_value() || *load < best->utilisation)) {
            best = choice{index, *load};
        }
    }
    return best;
}

} // namespace almondtiller::routing
