#include "dispatch/prefix_cache.h"

#include "routing/rendezvous.h"

namespace almondtiller::dispatch {

auto keys_of(const std::vector<serving::prompt_part>& prompt)
    -> std::vector<prompt_key>
{
    auto keys = std::vector<prompt_key>();
    keys.reserve(prompt.size());
    for (const auto& part : prompt) {
        keys.push_back({routing::placement_hash(part.id), part.tokens});
    }
    return keys;
}

auto prefix_cache::set_capacity(std::uint64_t tokens) -> void
{
    this->capacity = tokens;
    this->evict();
}

auto prefix_cache::missing_tokens(const std::vector<prompt_key>& prompt) const
    -> std::uint64_t
{
    auto missing = std::uint64_t(0);
    auto is_prefix = true;
    for (const auto& key : prompt) {
        is_prefix = is_prefix && this->places.contains(key.part);
        missing += is_prefix ? 0 : key.tokens;
    }
    return missing;
}

auto prefix_cache::touch(const std::vector<prompt_key>& prompt) -> void
{
    for (const auto& key : prompt) {
        const auto found = this->places.find(key.part);
        if (found != this->places.end()) {
            this->total -= found->second->tokens;
            this->parts.erase(found->second);
        }
        this->places[key.part] = this->parts.insert(this->parts.end(), key);
        this->total += key.tokens;
    }
    this->evict();
}

auto prefix_cache::evict() -> void
{
    while (this->total > this->capacity && !this->parts.empty()) {
        const auto& oldest = this->parts.front();
        this->total -= oldest.tokens;
        this->places.erase(oldest.part);
        this->parts.pop_front();
    }
}

} // namespace almondtiller::dispatch
