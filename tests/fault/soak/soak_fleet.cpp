#include "soak_fleet.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace almondtiller::soak {

namespace {

auto parse(const std::string& text) -> core::endpoint
{
    return core::parse_endpoint(text).value_or(core::endpoint());
}

} // namespace

proxy_process::proxy_process(const core::endpoint& target,
                             const std::string& folder, const std::string& name)
    : process("fault_proxy", {"--target", core::to_text(target)},
              folder + "/proxy-" + name + ".log"),
      proxied(parse(this->process.wait_for_line("proxying "))),
      admin(parse(this->process.wait_for_line("listening ")))
{}

auto proxy_process::address() const -> const core::endpoint&
{
    return this->proxied;
}

auto proxy_process::set_fault(gateway_world::world& around,
                              const std::string& fault) -> void
{
    if (!this->pool) {
        this->pool = std::make_unique<http1::client_pool>(around.loop);
    }
    auto request = http1::request_message();
    request.method = "POST";
    request.target = "/admin/fault";
    request.headers = {{"Host", "proxy"}};
    request.body = fault;
    auto is_done = false;
    auto hooks = http1::pool_hooks();
    hooks.on_done = [&is_done](auto, bool) {
        is_done = true;
    };
    this->pool->call({"admin", this->admin}, http1::serialize(request), {},
                     std::move(hooks));
    around.run_until([&is_done]() { return is_done; });
}

node_process::node_process(gateway_world::world& around, std::string where,
                           const std::string& name, const std::string& zone)
    : folder(std::move(where)),
      store_proxy(around.store.address(), this->folder, name),
      settings(gateway_world::make_settings(name, zone,
                                            this->store_proxy.address())),
      settings_path(this->folder + "/" + name + ".toml")
{
    std::ofstream(this->settings_path)
        << gateway_world::settings_text(this->settings);
}

auto node_process::start() -> void
{
    ++this->starts;
    this->is_stopped = false;
    this->seen_keys.clear();
    this->process.emplace("almondtiller_gateway",
                          std::vector<std::string>{this->settings_path},
                          this->folder + "/" + this->settings.node.str() + "-" +
                              std::to_string(this->starts) + ".log");
}

auto node_process::signal(int number) -> void
{
    if (this->process) {
        this->process->signal(number);
        this->is_stopped = number == SIGSTOP;
    }
}

auto node_process::kill() -> void
{
    if (this->process) {
        this->process->signal(SIGCONT);
        this->process->kill();
        this->process.reset();
    }
}

auto node_process::is_running() -> bool
{
    if (this->process && !this->process->is_running()) {
        this->process.reset();
    }
    return this->process.has_value();
}

auto node_process::front() const -> const core::endpoint&
{
    return this->settings.front;
}

auto node_process::readiness() const -> const core::endpoint&
{
    return this->settings.readiness;
}

auto node_process::incarnation() const -> int
{
    return this->starts;
}

auto node_process::store_link() -> proxy_process&
{
    return this->store_proxy;
}

} // namespace almondtiller::soak
