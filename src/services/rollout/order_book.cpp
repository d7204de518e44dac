#include "services/rollout/order_book.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace almondtiller::rollout {

namespace {

constexpr auto max_duration_s = 86400.0;
/// Ended orders that are remembered; a store that is restored returns the last
/// ones only.
constexpr auto max_history = std::size_t(256);

auto text_of(const serving::store_revision& revision) -> std::string
{
    return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

} // namespace

auto read_order(const adapter::stored_object& object) -> std::optional<order>
{
    const auto decoded = adapter::decode_rollout(object);
    if (!decoded) {
        return std::nullopt;
    }
    const auto& content = decoded.value();
    // Also false for a duration that is not a number.
    const auto is_in_range =
        content.duration_s > 0 && content.duration_s <= max_duration_s;
    if (!is_in_range || content.to.empty() || content.service != object.name) {
        return std::nullopt;
    }
    return order{serving::service_name(content.service), content.to,
                 std::chrono::duration_cast<core::duration>(
                     std::chrono::duration<double>(content.duration_s)),
                 object.created};
}

auto read_state(const adapter::stored_object& object)
    -> std::optional<order_state>
{
    const auto content = adapter::decode_rollout(object);
    const auto status = adapter::decode_rollout_status(object);
    if (!content || !status || status->to != content.value().to) {
        return std::nullopt;
    }
    switch (status->state) {
    case adapter::rollout_state::running:
        return order_state::running;
    case adapter::rollout_state::completed:
        return order_state::completed;
    case adapter::rollout_state::rolled_back:
        break;
    }
    return order_state::rolled_back;
}

auto is_final(std::optional<order_state> state) -> bool
{
    return state == order_state::completed || state == order_state::rolled_back;
}

auto text_of(order_state state) -> std::string_view
{
    switch (state) {
    case order_state::running:
        return "running";
    case order_state::completed:
        return "completed";
    case order_state::rolled_back:
        break;
    }
    return "rolled_back";
}

auto order_book::read(
    const std::map<std::string, adapter::stored_object>& objects,
    core::time_point now) -> std::vector<invalid_order>
{
    auto invalid = std::vector<invalid_order>();
    auto present = std::set<serving::service_name>();
    for (const auto& [name, object] : objects) {
        if (const auto read = read_order(object)) {
            present.insert(read->service);
            this->apply(*read, object, now);
            continue;
        }
        const auto* before = this->find(serving::service_name(name));
        if (before != nullptr && before->ended) {
            present.insert(before->order.service);
        }
        if (this->note(name, "fields " + text_of(object.revision))) {
            invalid.push_back({name, "fields_or_duration"});
        }
    }
    std::erase_if(this->by_service, [&present](const auto& item) {
        return !present.contains(item.first);
    });
    std::erase_if(this->reported, [&objects](const auto& item) {
        return !objects.contains(item.first);
    });
    return invalid;
}

auto order_book::apply(const order& read, const adapter::stored_object& object,
                       core::time_point now) -> void
{
    const auto found = this->by_service.find(read.service);
    if (found == this->by_service.end() || found->second.order != read) {
        auto created = known_order();
        created.order = read;
        created.known_since = now;
        created.ended = this->ended_state(read);
        created.has_begun = is_final(created.ended);
        this->by_service[read.service] = created;
    }
    auto& known = this->by_service[read.service];
    if (object.revision < known.revision) {
        return;
    }
    known.revision = object.revision;
    this->adopt(known, read_state(object));
}

auto order_book::adopt(known_order& known, std::optional<order_state> state)
    -> void
{
    known.stored = state;
    known.has_begun = known.has_begun || state.has_value();
    if (is_final(state)) {
        this->end(known.order, *state);
        known.ended = state;
    }
}

auto order_book::begin_valid(const order_facts& facts, core::time_point now)
    -> std::vector<invalid_order>
{
    auto invalid = std::vector<invalid_order>();
    for (auto& [service, known] : this->by_service) {
        const auto is_over = now - known.known_since >= known.order.duration;
        if (known.has_begun || is_over) {
            continue;
        }
        auto reason = std::string();
        if (!facts.has_service(service)) {
            reason = "unknown_service";
        } else if (!facts.has_version(service, known.order.to)) {
            reason = "no_upstream_of_version";
        }
        known.has_begun = reason.empty();
        if (!reason.empty() &&
            this->note(service.str(),
                       reason + " " + known.order.to + " " +
                           std::to_string(known.order.created))) {
            invalid.push_back({service.str(), reason});
        }
    }
    return invalid;
}

auto order_book::note(const std::string& name, const std::string& reason)
    -> bool
{
    auto& last = this->reported[name];
    return std::exchange(last, reason) != reason;
}

auto order_book::ended_state(const order& wanted) const
    -> std::optional<order_state>
{
    const auto found = std::find_if(
        this->history.begin(), this->history.end(),
        [&wanted](const auto& one) { return one.order == wanted; });
    return found == this->history.end() ? std::nullopt
                                        : std::optional(found->state);
}

auto order_book::end(const order& ended, order_state state) -> bool
{
    const auto known = this->ended_state(ended);
    if (known == state) {
        return false;
    }
    std::erase_if(this->history,
                  [&ended](const auto& one) { return one.order == ended; });
    this->history.push_back({ended, state});
    if (this->history.size() > max_history) {
        this->history.pop_front();
    }
    const auto found = this->by_service.find(ended.service);
    if (found != this->by_service.end() && found->second.order == ended) {
        found->second.ended =
            is_final(found->second.stored) ? found->second.stored : state;
    }
    return true;
}

auto order_book::on_stored(const order& written,
                           const serving::store_revision& at,
                           std::optional<order_state> state) -> void
{
    const auto found = this->by_service.find(written.service);
    if (found != this->by_service.end() && found->second.order == written &&
        found->second.revision <= at) {
        found->second.revision = at;
        this->adopt(found->second, state);
    }
}

auto order_book::rejected_versions(const serving::service_name& service) const
    -> std::set<std::string>
{
    auto versions = std::set<std::string>();
    for (const auto& one : this->history) {
        if (one.order.service != service) {
            continue;
        }
        if (one.state == order_state::rolled_back) {
            versions.insert(one.order.to);
        } else {
            versions.erase(one.order.to);
        }
    }
    if (const auto* present = this->find(service)) {
        versions.erase(present->order.to);
    }
    return versions;
}

auto order_book::find(const serving::service_name& service) const
    -> const known_order*
{
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? nullptr : &found->second;
}

auto order_book::orders() const
    -> const std::map<serving::service_name, known_order>&
{
    return this->by_service;
}

} // namespace almondtiller::rollout
