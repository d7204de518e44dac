#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace almondtiller::core {

/// A seeded pseudo-random generator; the same seed gives the same sequence. Not
/// thread-safe: each state machine owns one.
class random_source
{
public:
    explicit random_source(std::uint64_t seed);

    /// \return A uniform number in [0, bound).
    /// \pre bound > 0
    auto below(std::uint64_t bound) -> std::uint64_t;

    /// \return A uniform number in [0, 1).
    auto unit() -> double;

    /// \return 16 lower-case hexadecimal digits.
    auto hex_id() -> std::string;

private:
    std::mt19937_64 engine;
};

/// \return A non-deterministic seed from the operating system.
[[nodiscard]] auto system_seed() -> std::uint64_t;

} // namespace almondtiller::core
