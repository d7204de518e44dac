#pragma once

#include "settings/tree.h"

#include <string>
#include <vector>

namespace almondtiller::settings {

enum class difference_kind
{
    added,
    changed,
    removed,
};

/// One value that two trees do not share.
struct difference
{
    difference_kind kind = difference_kind::changed;
    std::string path;
    std::string before; ///< JSON; empty when it was added.
    std::string after;  ///< JSON; empty when it was removed.

    auto operator==(const difference&) const -> bool = default;
};

/// \return What leads from one tree to the other, by path. Lists, such as the
///         stages of a pipeline, are compared as a whole.
[[nodiscard]] auto diff(const declaration_tree& before,
                        const declaration_tree& after)
    -> std::vector<difference>;

/// \return \a stored with every declaration of \a declared in place of its
///         own; what is declared in \a stored alone is kept.
[[nodiscard]] auto overlay(const declaration_tree& stored,
                           const declaration_tree& declared)
    -> declaration_tree;

[[nodiscard]] auto to_string(difference_kind kind) -> std::string;

} // namespace almondtiller::settings
