#include "core/random.h"

#include <array>
#include <cstdio>

namespace almondtiller::core {

namespace {

constexpr auto hex_digits = 16;
constexpr auto half_word_bits = 32U;

} // namespace

random_source::random_source(std::uint64_t seed) : engine(seed)
{}

auto random_source::below(std::uint64_t bound) -> std::uint64_t
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound -
                                                               1)(this->engine);
}

auto random_source::unit() -> double
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

auto random_source::hex_id() -> std::string
{
    auto digits = std::array<char, hex_digits + 1>{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(this->engine()));
    return {digits.data(), hex_digits};
}

auto system_seed() -> std::uint64_t
{
    auto device = std::random_device();
    return (std::uint64_t(device()) << half_word_bits) | device();
}

} // namespace almondtiller::core
