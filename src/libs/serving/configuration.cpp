#include "serving/configuration.h"

#include "http1/message.h"

namespace almondtiller::serving {

namespace {

/// \return \a host without the port.
auto host_name(std::string_view host) -> std::string_view
{
    return host.substr(0, host.find(':'));
}

} // namespace

auto configuration::find_route(std::string_view host,
                               std::string_view path) const -> const route*
{
    const auto name = host_name(host);
    const auto bare_path = path.substr(0, path.find('?'));
    const route* best = nullptr;
    for (const auto& candidate : this->routes) {
        if (bare_path.starts_with(candidate.path_prefix) &&
            http1::equal_names(candidate.host, name) &&
            (best == nullptr ||
             best->path_prefix.size() < candidate.path_prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

auto configuration::find_service(const service_name& name) const
    -> const service*
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

auto configuration::find_workspace(const std::string& key) const
    -> const workspace*
{
    const auto found = this->workspaces_by_key.find(key);
    return found == this->workspaces_by_key.end() ? nullptr : &found->second;
}

} // namespace almondtiller::serving
