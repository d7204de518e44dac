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

/// One value that differs between two trees.
struct difference
{
    difference_kind kind = difference_kind::changed;
    std::string path;
    std::string before; ///< JSON; empty when it was added.
    std::string after;  ///< JSON; empty when it was removed.

    auto operator==(const difference&) const -> bool = default;
};

/// \return The changes from \a before to \a after, one per path. Lists, such as
///         the stages of a pipeline, are compared as a whole.
[[nodiscard]] auto diff(const declaration_tree& before,
                        const declaration_tree& after)
    -> std::vector<difference>;

/// \return \a stored, with the declarations of \a declared added or put in
///         place of those with the same path. Others of \a stored are kept.
[[nodiscard]] auto overlay(const declaration_tree& stored,
                           const declaration_tree& declared)
    -> declaration_tree;

[[nodiscard]] auto to_string(difference_kind kind) -> std::string;

} // namespace almondtiller::settings
