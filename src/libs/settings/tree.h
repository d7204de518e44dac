#pragma once

#include "core/result.h"
#include "settings/snapshot.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::settings {

/// One error in a declaration.
struct finding
{
    std::error_code code;
    std::string file;    ///< Empty when the text was not read from a file.
    std::string path;    ///< Such as pipelines/redraft/stages/encode/pool.
    std::string found;   ///< The offending value.
    std::string allowed; ///< Description of the allowed values.

    auto operator==(const finding&) const -> bool = default;
};

/// \return One line with the file, the path, the offending value, the allowed
///         values and the name of the error code.
[[nodiscard]] auto to_string(const finding& finding) -> std::string;

/// The declarations of operators, before inheritance is applied. A tree is a
/// JSON object with the members root, pipelines, pools, zones and workspaces.
class declaration_tree
{
public:
    declaration_tree();
    explicit declaration_tree(const nlohmann::json& document);

    /// \return settings_errc::malformed_json when \a text is not a JSON
    ///         object.
    static auto parse(std::string_view text) -> core::result<declaration_tree>;

    [[nodiscard]] auto document() const -> const nlohmann::json&;

    /// \return The canonical JSON text. Equal trees have equal texts.
    [[nodiscard]] auto text() const -> std::string;

    auto operator==(const declaration_tree& other) const -> bool;

private:
    std::shared_ptr<const nlohmann::json> json;
};

/// \return All errors in the tree; empty when it is valid.
[[nodiscard]] auto validate(const declaration_tree& tree)
    -> std::vector<finding>;

/// Applies inheritance and returns the effective settings.
/// \pre validate(tree) is empty. Values of a wrong type are replaced by their
///      defaults.
[[nodiscard]] auto resolve(const declaration_tree& tree, std::uint64_t revision)
    -> snapshot_ptr;

} // namespace almondtiller::settings
