#pragma once

#include "serving/request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace almondtiller::dispatch {

/// A prompt part, identified by the hash of its id; cheap to compare with the
/// parts that hundreds of upstreams have cached.
struct prompt_key
{
    std::uint64_t part = 0;
    std::uint32_t tokens = 0;

    auto operator==(const prompt_key&) const -> bool = default;
};

[[nodiscard]] auto keys_of(const std::vector<serving::prompt_part>& prompt)
    -> std::vector<prompt_key>;

/// Models which prompt parts an upstream still has in memory, from the requests
/// that were sent to it. The least recently used parts are evicted first.
class prefix_cache
{
public:
    /// \param capacity Number of tokens that the parts may take in total.
    auto set_capacity(std::uint64_t capacity) -> void;

    /// \return Tokens of \a prompt that the upstream would have to read: those
    ///         of the first part that is not cached and of all parts after it.
    [[nodiscard]] auto
    missing_tokens(const std::vector<prompt_key>& prompt) const
        -> std::uint64_t;

    /// Records that the upstream reads \a prompt.
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
