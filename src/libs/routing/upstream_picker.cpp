#include "routing/upstream_picker.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace almondtiller::routing {

namespace {

constexpr auto max_hints = std::size_t(16384);
constexpr auto max_draws = 8;
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
    for (const auto& added : this->members) {
        this->hashes.push_back(placement_hash(added.id.str()));
        (added.is_local ? this->local : this->remote).push_back(index);
        this->positions.emplace(added.id, index);
        ++index;
    }
}

auto upstream_picker::apply_hint(const cache_hint& hint) -> void
{
    const auto found = this->cached_prefixes.find(hint.prefix_hash);
    if (hint.stored) {
        if (this->cached_prefixes.size() >= max_hints) {
            this->cached_prefixes.clear();
        }
        this->cached_prefixes.insert_or_assign(hint.prefix_hash, hint.id);
    } else if (found != this->cached_prefixes.end() &&
               found->second == hint.id) {
        this->cached_prefixes.erase(found);
    }
}

auto upstream_picker::excluded_indices(const attempt_request& item,
                                       const conditions& current) const
    -> index_list
{
    auto excluded = index_list();
    for (const auto& id : item.excluded) {
        const auto found = this->positions.find(id);
        if (found != this->positions.end()) {
            excluded.push_back(found->second);
        }
    }
    if (excluded.empty()) {
        return excluded;
    }
    for (auto index = std::uint32_t(0); index < this->members.size(); ++index) {
        if (!contains(excluded, index) && current.is_serviceable(index)) {
            return excluded;
        }
    }
    return {};
}

auto upstream_picker::pick(const attempt_request& item,
                           const conditions& current,
                           core::random_source& random) const
    -> std::optional<std::uint32_t>
{
    const auto excluded = this->excluded_indices(item, current);
    if (item.prefix_hash.has_value()) {
        const auto chosen =
            this->pick_by_prefix(*item.prefix_hash, excluded, current);
        if (chosen.has_value()) {
            return chosen;
        }
    }
    const auto local_choice =
        this->pick_of_two(this->local, excluded, current, random);
    // The advantage of a remote upstream cannot exceed the utilisation of the
    // local one, so that remote upstreams need not be considered.
    if (local_choice.has_value() &&
        local_choice->utilisation <= current.spill_threshold) {
        return local_choice->index;
    }
    const auto remote_choice =
        this->pick_of_two(this->remote, excluded, current, random);
    if (!remote_choice.has_value()) {
        return local_choice.has_value() ? std::optional(local_choice->index)
                                        : std::nullopt;
    }
    const auto stays_local =
        local_choice.has_value() &&
        local_choice->utilisation <=
            remote_choice->utilisation + current.spill_threshold;
    return stays_local ? local_choice->index : remote_choice->index;
}

auto upstream_picker::pick_by_prefix(std::uint64_t prefix,
                                     const index_list& excluded,
                                     const conditions& current) const
    -> std::optional<std::uint32_t>
{
    const auto bound =
        affinity_factor * current.mean_utilisation + affinity_margin;
    const auto fits = [&](std::uint32_t index) {
        if (contains(excluded, index)) {
            return false;
        }
        const auto load = current.utilisation(index);
        return load.has_value() && *load <= bound;
    };
    const auto hint = this->cached_prefixes.find(prefix);
    if (hint != this->cached_prefixes.end()) {
        const auto position = this->positions.find(hint->second);
        if (position != this->positions.end() &&
            this->members[position->second].is_local &&
            fits(position->second)) {
            return position->second;
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
                                  const conditions& current,
                                  core::random_source& random) const
    -> std::optional<choice>
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto best = std::optional<choice>();
    auto found = 0;
    for (auto draw = 0; draw < max_draws && found < 2; ++draw) {
        const auto index = candidates[random.below(candidates.size())];
        const auto is_duplicate = best.has_value() && best->index == index;
        if (is_duplicate || contains(excluded, index)) {
            continue;
        }
        const auto load = current.utilisation(index);
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
    return this->scan(candidates, first, excluded, current);
}

auto upstream_picker::scan(const index_list& candidates, std::size_t first,
                           const index_list& excluded,
                           const conditions& current) const
    -> std::optional<choice>
{
    auto best = std::optional<choice>();
    for (auto step = std::size_t(0); step < candidates.size(); ++step) {
        const auto index = candidates[(first + step) % candidates.size()];
        if (contains(excluded, index)) {
            continue;
        }
        const auto load = current.utilisation(index);
        if (load.has_value() &&
            (!best.has_value() || *load < best->utilisation)) {
            best = choice{index, *load};
        }
    }
    return best;
}

} // namespace almondtiller::routing
