#include "services/gateway/node_state.h"

#include "platform/rollout_orders.h"
#include "platform/stage_calls.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Bounds a write of the status, because the store may not answer at all.
constexpr auto status_timeout = core::milliseconds(2000);

} // namespace

auto node::state::make_orders_hook() -> store_follower::orders_hook
{
    if (!this->settings.has_rollouts) {
        return nullptr;
    }
    return [this](const auto& objects) {
        this->rollouts->on_orders(objects);
    };
}

auto node::state::make_rollouts() -> std::unique_ptr<rollout::rollout_service>
{
    if (!this->settings.has_rollouts) {
        return nullptr;
    }
    auto hooks = rollout::rollout_hooks();
    hooks.other_nodes = [this]() {
        auto nodes = std::vector<rollout::node_presence>();
        this->mesh.visit([&nodes](const peer_view& peer) {
            nodes.push_back({peer.entry.node, peer.is_alive});
        });
        return nodes;
    };
    hooks.coordinator_of = [this](const auto& service) {
        return this->client.coordinator_of(service);
    };
    hooks.call = [this](const auto& node, auto body, auto timeout, auto done) {
        this->mesh.call(node, rollout::rollout_topic, std::move(body), timeout,
                        std::move(done));
    };
    hooks.write_status = [this](const auto& name, const auto& status,
                                const auto& revision, auto done) {
        this->write_rollout_status(name, status, revision, done);
    };
    hooks.held_results = [this](const auto& service, const auto& rule) {
        return std::uint32_t(this->held_results(service, rule));
    };
    hooks.on_changed = [this]() {
        this->local.refresh();
    };
    hooks.log = [this](bool is_failure, auto event, const auto& fields) {
        auto converted = std::vector<log_field>();
        for (const auto& [key, value] : fields) {
            converted.push_back({key, value});
        }
        this->log.write(is_failure ? severity::failure : severity::notice,
                        event, converted);
    };
    return std::make_unique<rollout::rollout_service>(
        this->event_loop, this->serving_state, this->settings.node,
        this->incarnation,
        rollout::exposure_limits{this->settings.exposure_share,
                                 this->settings.exposure_slack},
        std::move(hooks));
}

auto node::state::write_rollout_status(
    const std::string& name, const adapter::rollout_status& status,
    const serving::store_revision& revision,
    const rollout::status_writer::respond& done) -> void
{
    auto http_status = std::make_shared<int>(0);
    auto era = std::make_shared<std::int64_t>(0);
    auto body = std::make_shared<std::string>();
    auto hooks = http1::pool_hooks();
    hooks.on_head = [http_status, era](const http1::response_head& head) {
        *http_status = head.status;
        *era = adapter::store_era(head.headers);
    };
    hooks.on_body = [body](std::string_view bytes) {
        *body += bytes;
    };
    hooks.on_done = [http_status, era, body, done](std::error_code error,
                                                   bool) {
        auto response = rollout::write_response();
        response.error = error ? error : adapter::store_error(*http_status);
        if (auto present = adapter::decode_object(*body, *era)) {
            response.present = std::move(present.value());
        }
        done(response);
    };
    auto options = http1::call_options();
    options.longest = status_timeout;
    this->pool.call({"store", this->settings.store},
                    adapter::encode_rollout_status(this->settings.store, name,
                                                   status, revision),
                    options, std::move(hooks));
}

auto node::state::held_results(const serving::service_name& service,
                               const dispatch::upstream_rule& rule) const
    -> std::size_t
{
    const auto* spec = this->serving_state.find_service(service);
    if (spec == nullptr || !spec->stages) {
        return 0;
    }
    auto holders = std::set<core::endpoint>();
    for (const auto& [id, known] : this->serving_state.upstreams()) {
        if (known.upstream.service == service && rule(id)) {
            holders.insert(known.upstream.address);
        }
    }
    auto needed = std::size_t(0);
    for (const auto& weak : this->flows) {
        const auto flow = weak.lock();
        if (!flow) {
            continue;
        }
        for (const auto& handle : flow->held_results(service)) {
            const auto holder = adapter::result_holder(handle);
            needed += holder && holders.contains(*holder) ? 1 : 0;
        }
    }
    return std::max(needed, this->local.held_results(service, rule));
}

auto node::state::serve_rollouts() -> void
{
    if (!this->rollouts) {
        return;
    }
    this->local.set_rollouts(this->rollouts.get());
    this->mesh.handle(rollout::rollout_topic,
                      [this](const core::node_id&, const std::string& body,
                             const peer_mesh::reply& answer) {
                          answer(this->rollouts->on_message(body));
                          return std::function<void()>();
                      });
}

} // namespace almondtiller::gateway
