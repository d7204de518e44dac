#pragma once

#include "serving/request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace almondtiller::dispatch {

/// A part of a prompt by the hash of its id, as a placement compares it with
/// what hundreds of upstreams hold.
struct prompt_key
{
    std::uint64_t part = 0;
    std::uint32_t tokens = 0;

    auto operator==(const prompt_key&) const -> bool = default;
};

[[nodiscard]] auto keys_of(const std::vector<serving::prompt_part>& prompt)
    -> std::vector<prompt_key>;

/// A model of which prompt parts an upstream still has in memory, from the
/// requests that were sent to it: least recently used parts yield first.
class prefix_cache
{
public:
    /// \param capacity Tokens that the parts may take.
    auto set_capacity(std::uint64_t capacity) -> void;

    /// \return Tokens of \a prompt that would have to be read: all after the
    ///         first part that is missing.
    [[nodiscard]] auto
    missing_tokens(const std::vector<prompt_key>& prompt) const
        -> std::uint64_t;

    /// The upstream reads \a prompt.
    auto touch(const std::vector<prompt_key>& prompt) -> void;

private:
    auto evict() -> void;

    std::uint64_t capacity = 0;
    std::uint64_t total = 0;
    /// Least recently used first.
    std::list<prompt_key> parts;
    std::unordered_map<std::uint64_t, std::list<prompt_key>::iterator> places;
};

} // namespace almondtiller::dispatch
