#pragma once

#include "settings/tree.h"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace almondtiller::settings {

/// Maps the path of a declaration, such as pipelines/redraft, to its file.
using file_index = std::map<std::string, std::string>;

/// A declaration tree that was read from files.
struct loaded_tree
{
    declaration_tree tree;
    file_index files;
    /// Unreadable or malformed files and duplicate declarations.
    std::vector<finding> findings;
};

/// Reads one file, or all *.json files in a directory and its subdirectories,
/// and merges them into one tree. A declaration in two files is reported as a
/// finding.
[[nodiscard]] auto load_tree(const std::filesystem::path& path) -> loaded_tree;

/// \return The file that declares \a path or its nearest declared ancestor;
///         empty when there is none.
[[nodiscard]] auto file_of(const file_index& files, const std::string& path)
    -> std::string;

} // namespace almondtiller::settings
