#include "services/rollout/rollout_service.h"

#include "event/loop.h"

#include <algorithm>
#include <utility>

namespace almondtiller::rollout {

namespace {

constexpr auto tick_interval = core::milliseconds(100);
/// Time without a response of the coordinator after which its last directive
/// may be outdated.
constexpr auto silence_limit = core::milliseconds(1500);
/// Time in addition to a report interval in which all owners learn of a
/// directive.
constexpr auto delivery_margin = core::milliseconds(100);

} // namespace

rollout_service::rollout_service(event::loop& loop,
                                 const dispatch::serving_state& state,
                                 core::node_id node, std::string process,
                                 exposure_limits exposure, rollout_hooks given)
    : event_loop(loop),
      serving_state(state),
      self(std::move(node)),
      incarnation(std::move(process)),
      limits(exposure),
      hooks(std::move(given)),
      counts(std::make_shared<traffic_counts>(
          [this](const serving::service_name& service) {
              if (auto* carried_out = this->find(service)) {
                  carried_out->execution.on_bad_answer();
              }
          })),
      tick_timer(loop, [this]() { this->tick(); })
{}

rollout_service::~rollout_service()
{
    this->counts->set_bad_answer_hook(nullptr);
}

auto rollout_service::find(const serving::service_name& service) const
    -> carried_order*
{
    const auto found = this->carried.find(service);
    return found == this->carried.end() ? nullptr : found->second.get();
}

auto rollout_service::on_orders(
    const std::map<std::string, adapter::stored_object>& objects) -> void
{
    this->log_invalid(this->book.read(objects, this->event_loop.now()));
    this->sync();
}

auto rollout_service::refresh() -> void
{
    if (this->book.orders().empty()) {
        return;
    }
    for (const auto& [service, running] : this->carried) {
        this->refresh(*running);
    }
    this->sync();
}

auto rollout_service::make_facts() const -> order_facts
{
    auto facts = order_facts();
    facts.has_service = [this](const serving::service_name& service) {
        return this->serving_state.find_service(service) != nullptr;
    };
    facts.has_version = [this](const serving::service_name& service,
                               const std::string& version) {
        const auto& upstreams = this->serving_state.upstreams();
        return std::any_of(upstreams.begin(), upstreams.end(),
                           [&](const auto& item) {
                               return item.second.upstream.service == service &&
                                      item.second.upstream.version == version;
                           });
    };
    return facts;
}

auto rollout_service::sync() -> void
{
    // Before the first lists are read, every order would seem invalid.
    if (this->serving_state.config() == nullptr ||
        this->serving_state.upstreams().empty()) {
        return;
    }
    this->log_invalid(
        this->book.begin_valid(this->make_facts(), this->event_loop.now()));
    const auto is_dropped = this->drop_orders();
    const auto is_started = this->start_orders();
    if (is_dropped || is_started) {
        this->hooks.on_changed();
    }
    if (!this->carried.empty() && !std::exchange(this->is_ticking, true)) {
        this->tick_timer.start_repeating(core::milliseconds(0), tick_interval);
    } else if (this->carried.empty() &&
               std::exchange(this->is_ticking, false)) {
        this->tick_timer.stop();
    }
}

auto rollout_service::drop_orders() -> bool
{
    return std::erase_if(this->carried, [this](const auto& item) {
               const auto& running = *item.second;
               const auto& order = running.execution.carried_out();
               const auto* known = this->book.find(item.first);
               if (known != nullptr && known->order == order) {
                   return false;
               }
               // An order that is not valid changes nothing.
               if (known != nullptr && !known->has_begun && running.ended_as) {
                   return false;
               }
               this->counts->remove(item.first);
               this->hooks.log(
                   false, "rollout_withdrawn",
                   {{"service", item.first.str()},
                    {"to", order.to},
                    {"by", known == nullptr ? "removal" : "replacement"}});
               return true;
           }) > 0;
}

auto rollout_service::start_orders() -> bool
{
    auto is_started = false;
    for (const auto& [service, known] : this->book.orders()) {
        if (!known.has_begun) {
            continue;
        }
        if (this->find(service) == nullptr) {
            this->start(known);
            is_started = true;
        }
        auto& running = *this->find(service);
        if (known.ended && running.ended_as != known.ended) {
            this->end(running, *known.ended,
                      running.ended_as ? "store_prevails" : "store");
        }
    }
    return is_started;
}

auto rollout_service::refresh(carried_order& running) const -> void
{
    const auto& service = running.execution.carried_out().service;
    running.execution.refresh(this->serving_state,
                              this->book.rejected_versions(service));
}

auto rollout_service::start(const known_order& known) -> void
{
    const auto now = this->event_loop.now();
    const auto& order = known.order;
    auto created = std::make_shared<carried_order>(carried_order{
        order_execution(order, this->report_interval() + delivery_margin, now),
        this->make_writer(order),
        now,
        now - this->report_interval(),
        false,
        std::nullopt,
        std::nullopt,
        {},
        {}});
    this->refresh(*created);
    this->carried[order.service] = std::move(created);
    if (!known.ended) {
        this->counts->track(order);
    }
    this->hooks.log(false, "rollout_known",
                    {{"service", order.service.str()},
                     {"to", order.to},
                     {"duration_ms", ms_text(order.duration)},
                     {"created", std::to_string(order.created)},
                     {"state", std::string(known.ended ? text_of(*known.ended)
                                                       : "running")}});
}

auto rollout_service::make_writer(const order& written) -> status_writer
{
    return {written, this->hooks.write_status,
            [this, written](const adapter::stored_object& present) {
                this->book.on_stored(written, present.revision,
                                     read_state(present));
                this->sync();
            }};
}

auto rollout_service::tick() -> void
{
    const auto now = this->event_loop.now();
    this->note_nodes(now);
    // Copies, because the end of an order may change both maps.
    const auto current = this->carried;
    for (const auto& [service, running] : current) {
        const auto* known = this->book.find(service);
        if (known != nullptr &&
            known->order == running->execution.carried_out()) {
            this->tick(*running, known_order(*known), now);
        }
    }
}

auto rollout_service::tick(carried_order& running, const known_order& known,
                           core::time_point now) -> void
{
    const auto coordinator = this->hooks.coordinator_of(known.order.service);
    const auto is_coordinator = coordinator == this->self;
    if (is_coordinator) {
        running.writer.update(known, known.ended.value_or(order_state::running),
                              now);
    }
    const auto is_settled = known.ended && known.stored == known.ended;
    if (is_settled) {
        return;
    }
    if (!is_coordinator) {
        running.controller.reset();
        running.reported_at.clear();
        this->send_report(running, coordinator, now);
    } else if (!known.ended) {
        this->coordinate(running, now);
    }
    if (!known.ended && now - running.last_answer >= silence_limit) {
        running.execution.on_coordinator_silent();
    }
}

auto rollout_service::on_directive(carried_order& running,
                                   const directive& newer, core::time_point now)
    -> void
{
    const auto& order = running.execution.carried_out();
    if (running.ended_as ||
        !running.execution.apply(newer, this->placers(order.service), now)) {
        return;
    }
    this->refresh(running);
    const auto& applied = running.execution.in_force();
    this->hooks.log(false, "rollout_applied",
                    {{"service", order.service.str()},
                     {"to", order.to},
                     {"number", std::to_string(applied.number)},
                     {"phase", std::string(text_of(applied.phase))},
                     {"share", std::to_string(applied.share)}});
    if (applied.phase == phase::completed) {
        this->end(running, order_state::completed, "directive");
    } else if (applied.phase == phase::rolled_back) {
        this->end(running, order_state::rolled_back, "directive");
    }
    this->hooks.on_changed();
}

auto rollout_service::end(carried_order& running, order_state state,
                          std::string_view source) -> void
{
    const auto now = this->event_loop.now();
    const auto& order = running.execution.carried_out();
    running.ended_as = state;
    running.controller.reset();
    running.execution.end(state, now);
    this->refresh(running);
    this->book.end(order, state);
    const auto* known = this->book.find(order.service);
    this->hooks.log(
        state == order_state::rolled_back, "rollout_ended",
        {{"service", order.service.str()},
         {"to", order.to},
         {"state", std::string(text_of(state))},
         {"source", std::string(source)},
         {"age_ms", ms_text(known == nullptr ? core::duration(0)
                                             : now - known->known_since)}});
    this->hooks.on_changed();
}

auto rollout_service::rules(const serving::service_name& service,
                            core::time_point now)
    -> std::vector<dispatch::upstream_rule>
{
    auto* running = this->find(service);
    return running == nullptr ? std::vector<dispatch::upstream_rule>()
                              : running->execution.rules(now);
}

auto rollout_service::record_given(const serving::service_name& service,
                                   const core::upstream_id& upstream,
                                   core::time_point now) -> void
{
    if (auto* running = this->find(service)) {
        running->execution.record_given(upstream, now);
    }
}

auto rollout_service::may_send(const serving::service_name& service,
                               const core::upstream_id& upstream,
                               core::time_point now) const -> bool
{
    const auto* running = this->find(service);
    return running == nullptr || running->execution.may_send(upstream, now);
}

auto rollout_service::is_in_use(const serving::service_name& service,
                                const core::upstream_id& upstream) const -> bool
{
    const auto* running = this->find(service);
    return running == nullptr || running->execution.is_in_use(upstream);
}

auto rollout_service::begin(const core::upstream_id& upstream,
                            std::string route)
    -> std::shared_ptr<attempt_record>
{
    const auto found = this->serving_state.upstreams().find(upstream);
    if (found == this->serving_state.upstreams().end()) {
        return nullptr;
    }
    const auto now = this->event_loop.now();
    return this->counts->begin(found->second.upstream, std::move(route),
                               found->second.cold_until() > now, now);
}

auto rollout_service::views() const -> std::vector<order_view>
{
    auto views = std::vector<order_view>();
    for (const auto& [service, running] : this->carried) {
        const auto* known = this->book.find(service);
        if (known == nullptr) {
            continue;
        }
        const auto* counted = this->counts->find(service);
        views.push_back(
            {*known, running->execution.in_force(),
             this->counts->open_at_old(known->order),
             counted == nullptr ? traffic_counts::order_counts() : *counted});
    }
    return views;
}

} // namespace almondtiller::rollout
