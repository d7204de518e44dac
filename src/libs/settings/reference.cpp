#include "settings/reference.h"

#include "settings/schema.h"

#include <array>

namespace almondtiller::settings {

namespace {

constexpr auto introduction = R"(# Settings

Printed by `tillerctl reference settings`; change src/libs/settings, not this
page. A setting that a level does not set is inherited from the level above:
a stage from its pipeline, everything else from the root. Durations are strings
with one of the units ms, s, m and h.
)";

auto levels_text(const setting_info& info) -> std::string
{
    using enum setting_level;
    auto text = std::string();
    for (const auto level : {stage, pipeline, pool, workspace, zone, root}) {
        if (is_allowed_at(info, level)) {
            text += (text.empty() ? "" : ", ") + to_string(level);
        }
    }
    return text;
}

auto row_text(const setting_row& row) -> std::string
{
    const auto default_text =
        row.info.required ? "required" : "`" + row.default_text + "`";
    return "| `" + std::string(row.info.key) + "` | " + levels_text(row.info) +
           " | " + describe_allowed(row) + " | " + default_text + " | " +
           std::string(row.info.help) + " |\n";
}

} // namespace

auto settings_reference() -> std::string
{
    using enum setting_level;
    auto page = std::string(introduction);
    for (const auto owner : {root, pipeline, stage, pool, workspace, zone}) {
        page += "\n## Settings of the " +
                (owner == root ? "fleet" : to_string(owner)) +
                "\n\n| key | may stand at | allowed | default | meaning |\n"
                "| --- | --- | --- | --- | --- |\n";
        for (const auto& row : all_settings()) {
            if (row.info.owner == owner) {
                page += row_text(row);
            }
        }
    }
    return page;
}

} // namespace almondtiller::settings
