#include "object_table.h"

#include <utility>

namespace almondtiller::fake_platform {

namespace {

constexpr auto http_ok = 200;
constexpr auto http_created = 201;
constexpr auto http_not_found = 404;
constexpr auto http_conflict = 409;
constexpr auto http_precondition_failed = 412;
constexpr auto kept_events = std::size_t(4096);

} // namespace

auto object_table::put(const std::string& kind, const std::string& name,
                       std::optional<std::uint64_t> expected,
                       const std::string& value) -> write_outcome
{
    const auto* present = this->find(kind, name);
    if (!expected && present != nullptr) {
        return {http_conflict, present->version};
    }
    if (expected && present == nullptr) {
        return {http_not_found, 0};
    }
    if (expected && present->version != *expected) {
        return {http_precondition_failed, present->version};
    }
    ++this->last_revision;
    const auto written = stored_object{kind, name, this->last_revision, value};
    this->kinds[kind].insert_or_assign(name, written);
    this->add_event({false, written});
    return {expected ? http_ok : http_created, this->last_revision};
}

auto object_table::remove(const std::string& kind, const std::string& name,
                          std::uint64_t expected) -> write_outcome
{
    const auto* present = this->find(kind, name);
    if (present == nullptr) {
        return {http_not_found, 0};
    }
    if (present->version != expected) {
        return {http_precondition_failed, present->version};
    }
    ++this->last_revision;
    this->kinds[kind].erase(name);
    this->add_event({true, {kind, name, this->last_revision, ""}});
    return {http_ok, this->last_revision};
}

auto object_table::find(const std::string& kind, const std::string& name) const
    -> const stored_object*
{
    const auto objects = this->kinds.find(kind);
    if (objects == this->kinds.end()) {
        return nullptr;
    }
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nullptr : &found->second;
}

auto object_table::list(const std::string& kind) const
    -> std::vector<stored_object>
{
    auto all = std::vector<stored_object>();
    const auto objects = this->kinds.find(kind);
    if (objects != this->kinds.end()) {
        for (const auto& [name, object] : objects->second) {
            all.push_back(object);
        }
    }
    return all;
}

auto object_table::events_after(const std::string& kind,
                                std::uint64_t revision) const
    -> std::optional<std::vector<stored_event>>
{
    auto all = std::vector<stored_event>();
    const auto log = this->logs.find(kind);
    if (log == this->logs.end()) {
        return all;
    }
    if (revision < log->second.dropped_up_to) {
        return std::nullopt;
    }
    for (const auto& event : log->second.events) {
        if (event.object.version > revision) {
            all.push_back(event);
        }
    }
    return all;
}

auto object_table::revision() const -> std::uint64_t
{
    return this->last_revision;
}

auto object_table::add_event(stored_event event) -> void
{
    auto& log = this->logs[event.object.kind];
    log.events.push_back(std::move(event));
    if (log.events.size() > kept_events) {
        log.dropped_up_to = log.events.front().object.version;
        log.events.pop_front();
    }
}

} // namespace almondtiller::fake_platform
