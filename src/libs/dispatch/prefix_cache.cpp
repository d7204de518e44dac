#include "dispatch/prefix_cache.h"

#include "routing/rendezvous.h"

namespace almondtiller::dispatch {

auto hash_parts(const std::vector<serving::prompt_part>& prompt)
    -> std::vector<hashed_prompt_part>
{
    auto keys = std::vector<hashed_prompt_part>();
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

auto prefix_cache::missing_tokens(
    const std::vector<hashed_prompt_part>& prompt) const -> std::uint64_t
{
    auto missing = std::uint64_t(0);
    auto is_prefix = true;
    for (const auto& key : prompt) {
        is_prefix = is_prefix && this->positions.contains(key.part);
        missing += is_prefix ? 0 : key.tokens;
    }
    return missing;
}

auto prefix_cache::touch(const std::vector<hashed_prompt_part>& prompt) -> void
{
    for (const auto& key : prompt) {
        const auto found = this->positions.find(key.part);
        if (found != this->positions.end()) {
            this->cached_tokens -= found->second->tokens;
            this->lru_parts.erase(found->second);
        }
        this->positions[key.part] =
            this->lru_parts.insert(this->lru_parts.end(), key);
        this->cached_tokens += key.tokens;
    }
    this->evict();
}

auto prefix_cache::evict() -> void
{
    while (this->cached_tokens > this->capacity && !this->lru_parts.empty()) {
        const auto& oldest = this->lru_parts.front();
        this->cached_tokens -= oldest.tokens;
        this->positions.erase(oldest.part);
        this->lru_parts.pop_front();
    }
}

} // namespace almondtiller::dispatch
