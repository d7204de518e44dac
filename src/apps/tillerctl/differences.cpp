#include "tillerctl/differences.h"

#include <nlohmann/json.hpp>

namespace almondtiller::tillerctl {

auto print_differences(const std::vector<settings::difference>& differences,
                       const invocation& call, terminal& io) -> void
{
    auto list = nlohmann::json::array();
    for (const auto& found : differences) {
        if (call.output == output_format::table) {
            io.out << to_string(found.kind) << "  " << found.path << "  "
                   << found.before
                   << (found.kind == settings::difference_kind::changed ? " -> "
                                                                        : "")
                   << found.after << '\n';
        } else {
            list.push_back({{"kind", to_string(found.kind)},
                            {"path", found.path},
                            {"before", found.before},
                            {"after", found.after}});
        }
    }
    if (call.output == output_format::json) {
        io.out << nlohmann::json({{"differences", list}}).dump(2) << '\n';
    }
}

} // namespace almondtiller::tillerctl
