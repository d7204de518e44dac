#include "dispatch/prefix_cache.h"

#include <algorithm>

namespace almondtiller::dispatch {

auto prefix_cache::set_capacity(std::uint64_t tokens) -> void
{
    this->capacity = tokens;
    this->evict();
}

auto prefix_cache::missing_tokens(
    const std::vector<serving::prompt_part>& prompt) const -> std::uint64_t
{
    auto missing = std::uint64_t(0);
    auto is_prefix = true;
    for (const auto& part : prompt) {
        is_prefix = is_prefix && this->parts.contains(part.id);
        missing += is_prefix ? 0 : part.tokens;
    }
    return missing;
}

auto prefix_cache::touch(const std::vector<serving::prompt_part>& prompt,
                         core::time_point now) -> void
{
    for (const auto& read : prompt) {
        auto& kept = this->parts[read.id];
        this->total += read.tokens - kept.tokens;
        kept = {read.tokens, now};
    }
    this->evict();
}

auto prefix_cache::evict() -> void
{
    while (this->total > this->capacity && !this->parts.empty()) {
        const auto oldest =
            std::min_element(this->parts.begin(), this->parts.end(),
                             [](const auto& left, const auto& right) {
                                 return left.second.used < right.second.used;
                             });
        this->total -= oldest->second.tokens;
        this->parts.erase(oldest);
    }
}

} // namespace almondtiller::dispatch
