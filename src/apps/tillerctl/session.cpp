#include "tillerctl/session.h"

#include "core/errc.h"

#include <random>

namespace almondtiller::tillerctl {

namespace {

/// Change ids must differ between calls, so the seed is not fixed.
auto fresh_seed() -> std::uint64_t
{
    constexpr auto half_bits = 32U;
    auto device = std::random_device();
    return (std::uint64_t(device()) << half_bits) | device();
}

} // namespace

session::session(const invocation& call, terminal& io)
    : store(call.platform),
      publisher(this->store, this->clock, fresh_seed(), call.timeout),
      call(call),
      io(io)
{}

auto session::has_platform() const -> bool
{
    if (this->call.platform.empty()) {
        this->io.err << "tillerctl: " << this->call.command
                     << " needs --platform or ALMONDTILLER_PLATFORM\n";
        return false;
    }
    return true;
}

auto session::read_config() -> std::optional<fleet::stored_config>
{
    auto stored = this->publisher.current();
    if (!stored) {
        this->report("the configuration cannot be read", stored.error());
        return std::nullopt;
    }
    return stored.value();
}

auto session::node_address(const std::string& id_or_address)
    -> std::optional<std::string>
{
    if (id_or_address.empty() && this->call.node.empty()) {
        this->io.err << "tillerctl: " << this->call.command
                     << " needs --node or ALMONDTILLER_NODE\n";
        return std::nullopt;
    }
    const auto& wanted =
        id_or_address.empty() ? this->call.node : id_or_address;
    if (wanted.find(':') != std::string::npos) {
        return wanted;
    }
    if (!this->has_platform()) {
        return std::nullopt;
    }
    const auto listed = this->store.instances(this->call.timeout);
    if (!listed) {
        this->report("the instance list cannot be read", listed.error());
        return std::nullopt;
    }
    for (const auto& instance : listed.value()) {
        if (instance.id == wanted) {
            return instance.address;
        }
    }
    this->io.err << "tillerctl: no instance named " << wanted << "\n";
    return std::nullopt;
}

auto session::report(const std::string& what, const std::error_code& error)
    -> void
{
    this->io.err << "tillerctl: " << what << ": " << error.message() << " ["
                 << core::error_name(error) << "]\n";
}

} // namespace almondtiller::tillerctl
