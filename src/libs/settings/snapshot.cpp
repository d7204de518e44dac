#include "settings/snapshot.h"

namespace almondtiller::settings {

namespace {

template <typename Map>
auto find_in(const Map& map, const typename Map::key_type& key) ->
    typename Map::const_pointer
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &*found;
}

} // namespace

auto snapshot::find_pipeline(const core::pipeline_name& name) const
    -> const pipeline_settings*
{
    const auto* found = find_in(this->pipelines, name);
    return found == nullptr ? nullptr : &found->second;
}

auto snapshot::find_pool(const core::pool_name& name) const
    -> const pool_settings*
{
    const auto* found = find_in(this->pools, name);
    return found == nullptr ? nullptr : &found->second;
}

auto snapshot::find_workspace(const core::workspace_name& name) const
    -> const workspace_settings*
{
    const auto* found = find_in(this->workspaces, name);
    return found == nullptr ? nullptr : &found->second;
}

auto snapshot::is_zone_in(const core::zone_name& name) const -> bool
{
    const auto* found = find_in(this->zones, name);
    return found != nullptr && found->second.state == zone_state::in;
}

} // namespace almondtiller::settings
