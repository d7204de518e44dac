#include "services/gateway/store_mirror.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Number of changes that are kept for other nodes. A node that has missed more
/// receives all objects.
constexpr auto max_history = std::size_t(256);

} // namespace

auto store_mirror::apply(const adapter::object_changes& received) -> bool
{
    auto changes = std::vector<adapter::object_change>();
    for (const auto& change : received.changes) {
        const auto existing = this->current.find(change.object.name);
        // An object that is missing although the mirror has reached the
        // revision of the change was removed since.
        const auto is_outdated =
            existing == this->current.end()
                ? !change.is_removed &&
                      change.object.revision <= this->current_revision
                : existing->second.revision > change.object.revision;
        if (is_outdated) {
            continue;
        }
        if (change.is_removed) {
            this->current.erase(change.object.name);
        } else {
            this->current[change.object.name] = change.object;
        }
        changes.push_back(change);
        // Other nodes only need the newest state of an object. Otherwise a
        // configuration of a megabyte would be kept and sent once for each of
        // its versions.
        std::erase_if(this->history, [&change](const auto& earlier) {
            return earlier.object.name == change.object.name;
        });
        this->history.push_back(change);
    }
    while (this->history.size() > max_history) {
        this->history_start = this->history.front().object.revision;
        this->history.pop_front();
    }
    this->current_revision =
        std::max(this->current_revision, received.revision);
    if (!changes.empty()) {
        this->callbacks.on_changes(changes);
    }
    return !changes.empty();
}

auto store_mirror::clear_history() -> void
{
    this->history.clear();
    this->history_start = this->current_revision;
}

auto store_mirror::changes_since(const serving::store_revision& revision) const
    -> std::optional<std::vector<adapter::object_change>>
{
    if (revision < this->history_start || !this->listed ||
        revision.era != this->current_revision.era) {
        return std::nullopt;
    }
    auto changes = std::vector<adapter::object_change>();
    for (const auto& change : this->history) {
        if (change.object.revision > revision) {
            changes.push_back(change);
        }
    }
    return changes;
}

auto store_mirror::adopt_changes(const adapter::object_changes& received)
    -> void
{
    // Changes of a later era do not show what was lost with the earlier one.
    const auto is_same_era =
        received.revision.era == this->current_revision.era;
    if (received.revision > this->current_revision && is_same_era &&
        this->listed) {
        this->apply(received);
    }
}

auto store_mirror::adopt(const serving::store_revision& newer,
                         std::vector<adapter::stored_object> objects) -> bool
{
    if (newer <= this->current_revision && this->listed) {
        return this->adopt_newer_objects(std::move(objects));
    }
    const auto is_new_era = newer.era > this->current_revision.era;
    this->begin_era(newer);
    this->current.clear();
    for (auto& object : objects) {
        auto name = object.name;
        this->current[std::move(name)] = std::move(object);
    }
    this->current_revision = newer;
    this->listed = true;
    this->clear_history();
    this->callbacks.on_list();
    if (is_new_era && this->follows) {
        // An open watch continues the history of the earlier era.
        this->cancel_call();
        this->must_list = false;
        this->must_probe = true;
        this->read_store();
    }
    return true;
}

auto store_mirror::adopt_newer_objects(
    std::vector<adapter::stored_object> objects) -> bool
{
    auto missed = adapter::object_changes();
    missed.revision = this->current_revision;
    for (auto& object : objects) {
        // Objects that are not in this mirror may have been removed since.
        const auto existing = this->current.find(object.name);
        if (existing != this->current.end() &&
            existing->second.revision < object.revision) {
            missed.changes.push_back({std::move(object), false});
        }
    }
    return this->apply(missed);
}

} // namespace almondtiller::gateway
