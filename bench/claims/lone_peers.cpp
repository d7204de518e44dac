#include "lone_peers.h"

#include "fleet/fleet_errc.h"

#include <utility>

namespace almondtiller::claims_bench {

lone_peers::lone_peers(std::vector<fleet::member> members)
    : known(std::move(members))
{}

auto lone_peers::name() const -> std::string_view
{
    return fleet::peers_service_name;
}

auto lone_peers::initialize(kernel::service_kernel& /*kernel*/)
    -> std::error_code
{
    return {};
}

auto lone_peers::self() const -> fleet::member
{
    return this->known.front();
}

auto lone_peers::members() const -> std::vector<fleet::member>
{
    return this->known;
}

auto lone_peers::on_members_changed(members_handler /*handler*/) -> void
{}

auto lone_peers::call(const core::node_id& /*target*/,
                      const std::string& /*topic*/, const std::string& /*body*/,
                      core::milliseconds /*timeout*/, reply_handler reply)
    -> void
{
    reply(make_error_code(fleet::fleet_errc::peer_unreachable));
}

auto lone_peers::handle(const std::string& /*topic*/,
                        request_handler /*handler*/) -> void
{}

auto lone_peers::announce_leaving() -> void
{}

} // namespace almondtiller::claims_bench
