#pragma once

#include <compare>
#include <cstdint>

namespace almondtiller::serving {

/// A position in the history of the platform's store. A store that is restored
/// from a copy begins a new era and assigns the revisions since the copy again,
/// so that a number alone does not tell which of two states is newer.
struct store_revision
{
    /// 0 if unknown.
    std::int64_t era = 0;
    std::int64_t number = 0;

    auto operator==(const store_revision&) const -> bool = default;
    auto operator<=>(const store_revision&) const = default;
};

} // namespace almondtiller::serving
