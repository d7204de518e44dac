#include "core/errc.h"
#include "settings/explanation.h"
#include "settings/settings_errc.h"
#include "tillerctl/commands.h"
#include "tillerctl/session.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>
#include <sstream>

namespace almondtiller::tillerctl {

namespace {

using nlohmann::json;

/// \return The declaration at a path like pools/tiller-pool, or null.
auto find_path(const json& document, const std::string& path) -> const json*
{
    const auto* found = &document;
    auto stream = std::istringstream(path);
    for (auto part = std::string(); std::getline(stream, part, '/');) {
        if (!found->is_object() || !found->contains(part)) {
            return nullptr;
        }
        found = &found->at(part);
    }
    return found;
}

/// \return The time of the day in UTC, in ISO 8601.
auto time_text(std::int64_t since_epoch_ms) -> std::string
{
    constexpr auto second_ms = 1000;
    constexpr auto text_size = std::size_t(32);
    const auto seconds = std::time_t(since_epoch_ms / second_ms);
    auto parts = std::tm();
    gmtime_r(&seconds, &parts);
    auto text = std::array<char, text_size>();
    const auto length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

/// A zone's state may have been changed since it was declared.
auto with_zone_state(settings::explanation explained,
                     const fleet::stored_config& stored)
    -> settings::explanation
{
    for (const auto& [zone, state] : stored.zones) {
        if (explained.path == "zones/" + zone.str() + "/state") {
            const auto value = json(settings::to_string(state)).dump();
            if (value != explained.value) {
                explained.origin = "tillerctl zone";
            }
            explained.value = value;
        }
    }
    return explained;
}

auto print_explanation(const settings::explanation& explained,
                       const invocation& call, terminal& io) -> void
{
    const auto origin = explained.origin.empty() ? "default" : explained.origin;
    if (call.output == output_format::json) {
        io.out << json({{"path", explained.path},
                        {"value", json::parse(explained.value)},
                        {"origin", origin},
                        {"help", explained.help}})
                      .dump(2)
               << '\n';
        return;
    }
    io.out << explained.path << " = " << explained.value << "\n  set by "
           << origin << "\n  " << explained.help << '\n';
}

} // namespace

auto run_get(const invocation& call, terminal& io) -> exit_status
{
    auto opened = session(call, io);
    if (!opened.has_platform()) {
        return exit_status::usage;
    }
    const auto stored = opened.read_config();
    if (!stored) {
        return exit_status::unreachable;
    }
    const auto path = call.arguments.empty() ? "" : call.arguments.front();
    const auto* found = find_path(stored->tree.document(), path);
    if (found == nullptr) {
        io.err << "tillerctl: nothing is declared at " << path << "\n";
        return exit_status::failure;
    }
    io.out << found->dump(2) << '\n';
    return exit_status::success;
}

auto run_explain(const invocation& call, terminal& io) -> exit_status
{
    auto opened = session(call, io);
    if (!opened.has_platform()) {
        return exit_status::usage;
    }
    const auto stored = opened.read_config();
    if (!stored) {
        return exit_status::unreachable;
    }
    const auto& path = call.arguments.front();
    const auto explained = settings::explain(stored->tree, path);
    if (!explained) {
        opened.report(path, explained.error());
        return exit_status::failure;
    }
    print_explanation(with_zone_state(explained.value(), *stored), call, io);
    return exit_status::success;
}

auto run_history(const invocation& call, terminal& io) -> exit_status
{
    auto opened = session(call, io);
    if (!opened.has_platform()) {
        return exit_status::usage;
    }
    const auto stored = opened.read_config();
    if (!stored) {
        return exit_status::unreachable;
    }
    auto list = json::array();
    for (const auto& change : stored->changes) {
        list.push_back({{"revision", change.revision},
                        {"change", change.id},
                        {"when_ms", change.when_ms},
                        {"who", change.who},
                        {"what", change.what}});
        if (call.output == output_format::table) {
            io.out << change.revision << "  " << time_text(change.when_ms)
                   << "  " << change.who << "  " << change.what << "  "
                   << change.id << '\n';
        }
    }
    if (call.output == output_format::json) {
        io.out << json({{"changes", list}}).dump(2) << '\n';
    }
    return exit_status::success;
}

} // namespace almondtiller::tillerctl
