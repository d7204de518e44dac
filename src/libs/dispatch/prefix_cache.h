#pragma once

#include "core/clock.h"
#include "serving/request.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondtiller::dispatch {

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
    missing_tokens(const std::vector<serving::prompt_part>& prompt) const
        -> std::uint64_t;

    /// The upstream reads \a prompt.
    auto touch(const std::vector<serving::prompt_part>& prompt,
               core::time_point now) -> void;

private:
    struct part
    {
        std::uint32_t tokens = 0;
        core::time_point used;
    };
    auto evict() -> void;

    std::uint64_t capacity = 0;
    std::uint64_t total = 0;
    std::unordered_map<std::string, part> parts;
};

} // namespace almondtiller::dispatch
