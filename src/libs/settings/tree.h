#pragma once

#include "core/result.h"
#include "settings/snapshot.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::settings {

/// One thing that is wrong with a declaration.
struct finding
{
    std::error_code code;
    std::string file;    ///< Empty when the text came from no file.
    std::string path;    ///< Like pipelines/redraft/stages/encode/pool.
    std::string found;   ///< The offending value.
    std::string allowed; ///< What would have been accepted.

    auto operator==(const finding&) const -> bool = default;
};

/// \return One line: file, path, what was found, what is allowed, the code.
[[nodiscard]] auto to_string(const finding& finding) -> std::string;

/// The declarations as operators wrote them, before inheritance. A tree is a
/// JSON object with the members root, pipelines, pools, zones and workspaces.
class declaration_tree
{
public:
    declaration_tree();
    explicit declaration_tree(const nlohmann::json& document);

    /// \return settings_errc::malformed_json when \a text is not an object.
    static auto parse(std::string_view text) -> core::result<declaration_tree>;

    [[nodiscard]] auto document() const -> const nlohmann::json&;

    /// \return The canonical text: equal trees give equal texts.
    [[nodiscard]] auto text() const -> std::string;

    auto operator==(const declaration_tree& other) const -> bool;

private:
    std::shared_ptr<const nlohmann::json> json;
};

/// \return Everything that is wrong with the tree; empty when it is valid.
[[nodiscard]] auto validate(const declaration_tree& tree)
    -> std::vector<finding>;

/// Applies inheritance and gives the effective settings.
/// \pre validate(tree) is empty; values that are not valid take defaults.
[[nodiscard]] auto resolve(const declaration_tree& tree, std::uint64_t revision)
    -> snapshot_ptr;

} // namespace almondtiller::settings
