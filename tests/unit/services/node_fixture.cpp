#include "node_fixture.h"

#include "services/entry/entry_service.h"
#include "services/execution/execution_service.h"
#include "services/node/node_service.h"
#include "services/upstreams/upstreams_service.h"

#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondtiller::services {

namespace {

constexpr auto request_deadline_ms = 800;
constexpr auto granted_slots = 64;

auto make_pipeline(const std::string& name, settings::stage_kind kind,
                   bool idempotent) -> settings::pipeline_settings
{
    auto stage = settings::stage_settings();
    stage.name = core::stage_name(name);
    stage.kind = kind;
    stage.pool = core::pool_name("pool");
    stage.idempotent = idempotent;
    auto pipeline = settings::pipeline_settings();
    pipeline.name = core::pipeline_name(name);
    pipeline.stages = {stage};
    return pipeline;
}

auto make_snapshot() -> settings::snapshot_ptr
{
    auto made = settings::snapshot();
    made.revision = 1;
    for (const auto& pipeline :
         {make_pipeline("plan", settings::stage_kind::generate, true),
          make_pipeline("confirm", settings::stage_kind::call, false)}) {
        made.pipelines[pipeline.name] = pipeline;
    }
    const auto pool = core::pool_name("pool");
    made.pools[pool].name = pool;
    // Generous, so that the scheduler's budgets are out of these tests.
    made.pools[pool].cold_capacity = 64;
    made.pools[pool].retry_ratio = 10.0;
    const auto zone = core::zone_name("z");
    made.zones[zone].name = zone;
    const auto workspace = core::workspace_name("w");
    made.workspaces[workspace].name = workspace;
    return std::make_shared<const settings::snapshot>(made);
}

auto make_instance(const std::string& id, const std::string& address)
    -> platform::instance
{
    auto made = platform::instance();
    made.id = id;
    made.pool = core::pool_name("pool");
    made.zone = core::zone_name("z");
    made.address = address;
    return made;
}

} // namespace

node_fixture::~node_fixture()
{
    this->held.open();
    if (this->kernel) {
        this->kernel->shutdown();
        this->kernel.reset();
    }
}

auto node_fixture::start(const std::vector<fake_upstream::script>& scripts)
    -> void
{
    for (const auto& script : scripts) {
        this->upstreams.push_back(std::make_unique<fake_upstream>(script));
        this->instances.push_back(
            make_instance("u" + std::to_string(this->instances.size()),
                          this->upstreams.back()->address()));
    }
    this->kernel = std::make_unique<kernel::service_kernel>();
    this->options.address = "127.0.0.1";
    auto self = fleet::member();
    self.id = core::node_id("n");
    self.zone = core::zone_name("z");
    auto added = std::make_unique<fake_directory>();
    this->directory = added.get();
    this->directory->list(this->instances);
    this->kernel->add(std::make_unique<http_service>(this->options));
    this->kernel->add(std::make_unique<node_service>(self, "127.0.0.1"));
    this->kernel->add(std::make_unique<fake_config>(make_snapshot()));
    this->kernel->add(std::move(added));
    this->kernel->add(std::make_unique<fake_claims>());
    this->kernel->add(std::make_unique<upstreams_service>(self.zone));
    this->kernel->add(std::make_unique<execution_service>());
    this->kernel->add(std::make_unique<entry_service>());
    ASSERT_FALSE(this->kernel->start());
    this->kernel->find<node_service>(node_service_name)
        ->set_has_configuration();
    this->grant_cold_slots();
    this->http = this->kernel->find<http_service>(http_service_name);
    this->http->start_listening();
}

/// Every upstream is cold at first.
auto node_fixture::grant_cold_slots() -> void
{
    auto* pools = this->kernel->find<pool_access>(upstreams_service_name);
    for (const auto& listed : this->instances) {
        auto grant = routing::cold_grant();
        grant.id = core::upstream_id(listed.id);
        grant.slots = granted_slots;
        grant.expires = this->kernel->clock().now() + std::chrono::hours(1);
        pools->grant_cold_slots(core::pool_name("pool"), grant);
    }
}

auto node_fixture::add_dead_upstream() -> void
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto size = socklen_t(sizeof(address));
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    static_cast<void>(
        ::bind(socket, reinterpret_cast<sockaddr*>(&address), size));
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    const auto port = ntohs(address.sin_port);
    this->instances.push_back(
        make_instance("dead", "127.0.0.1:" + std::to_string(port)));
}

auto node_fixture::call(const nlohmann::json& body) -> caller_answer
{
    return this->call_text(body.dump());
}

auto node_fixture::call_text(const std::string& body) -> caller_answer
{
    auto client = httplib::Client("127.0.0.1", this->http->port());
    const auto answer = client.Post("/v1/run", body, "application/json");
    if (!answer) {
        return {};
    }
    return {answer->status, nlohmann::json::parse(answer->body, nullptr, false),
            answer->body};
}

auto node_fixture::metrics() -> std::string
{
    return this->kernel->metrics().expose();
}

auto request_for(const std::string& pipeline) -> nlohmann::json
{
    return {{"workspace", "w"},
            {"pipeline", pipeline},
            {"deadline_ms", request_deadline_ms},
            {"input", {{"text", "draft"}}}};
}

} // namespace almondtiller::services
