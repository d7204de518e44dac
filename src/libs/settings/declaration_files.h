#pragma once

#include "settings/tree.h"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace almondtiller::settings {

/// Which file declares what; the key is a path like pipelines/redraft.
using file_index = std::map<std::string, std::string>;

/// A tree that was read from files.
struct loaded_tree
{
    declaration_tree tree;
    file_index files;
    /// Files that could not be read and things declared twice.
    std::vector<finding> findings;
};

/// Reads every *.json file below a directory, or one file, and merges them
/// into one tree. Each declaration may stand in one file only.
[[nodiscard]] auto load_tree(const std::filesystem::path& path) -> loaded_tree;

/// \return The file that declares \a path or the nearest thing above it.
[[nodiscard]] auto file_of(const file_index& files, const std::string& path)
    -> std::string;

} // namespace almondtiller::settings
