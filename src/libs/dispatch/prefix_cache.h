#pragma once

#include "serving/request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace almondtiller::dispatch {

/// A prompt part, identified by the hash of its id; cheap to compare with the
/// parts that hundreds of upstreams have cached.
struct hashed_prompt_part
{
    std::uint64_t part = 0;
    std::uint32_t tokens = 0;

    auto operator==(const hashed_prompt_part&) const -> bool = default;
};

[[nodiscard]] auto hash_parts(const std::vector<serving::prompt_part>& prompt)
    -> std::vector<hashed_prompt_part>;

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
    missing_tokens(const std::vector<hashed_prompt_part>& prompt) const
        -> std::uint64_t;

    /// Records that the upstream reads \a prompt.
    auto touch(const std::vector<hashed_prompt_part>& prompt) -> void;

private:
    auto evict() -> void;

    std::uint64_t capacity = 0;
    std::uint64_t cached_tokens = 0;
    /// Least recently used first.
    std::list<hashed_prompt_part> lru_parts;
    std::unordered_map<std::uint64_t, std::list<hashed_prompt_part>::iterator>
        positions;
};

} // namespace almondtiller::dispatch
