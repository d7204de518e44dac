#include "tillerctl/findings.h"

#include "core/errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::tillerctl {

auto check(const settings::loaded_tree& loaded)
    -> std::vector<settings::finding>
{
    auto findings = loaded.findings;
    for (auto& found : settings::validate(loaded.tree)) {
        found.file = settings::file_of(loaded.files, found.path);
        findings.push_back(std::move(found));
    }
    return findings;
}

auto print_findings(const std::vector<settings::finding>& findings,
                    const invocation& call, terminal& io) -> void
{
    if (call.output == output_format::table) {
        for (const auto& found : findings) {
            io.out << settings::to_string(found) << '\n';
        }
        return;
    }
    auto list = nlohmann::json::array();
    for (const auto& found : findings) {
        list.push_back({{"code", core::error_name(found.code)},
                        {"file", found.file},
                        {"path", found.path},
                        {"found", found.found},
                        {"allowed", found.allowed}});
    }
    io.out << nlohmann::json({{"findings", list}}).dump(2) << '\n';
}

} // namespace almondtiller::tillerctl
