#include "services/gateway/store_mirror.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Number of changes that are kept for other nodes. A node that has missed more
/// receives all objects.
constexpr auto longest_history = std::size_t(256);

} // namespace

auto store_mirror::apply(const adapter::object_changes& seen) -> bool
{
    auto changes = std::vector<adapter::object_change>();
    for (const auto& change : seen.changes) {
        const auto known = this->current.find(change.object.name);
        const auto is_old = known != this->current.end() &&
                            known->second.revision > change.object.revision;
        if (is_old) {
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
    while (this->history.size() > longest_history) {
        this->history_start = this->history.front().object.revision;
        this->history.pop_front();
    }
    this->current_revision = std::max(this->current_revision, seen.revision);
    if (!changes.empty()) {
        this->called.on_changes(changes);
    }
    return !changes.empty();
}

auto store_mirror::forget_history() -> void
{
    this->history.clear();
    this->history_start = this->current_revision;
}

auto store_mirror::changes_since(std::int64_t revision) const
    -> std::optional<std::vector<adapter::object_change>>
{
    if (revision < this->history_start || !this->listed) {
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

auto store_mirror::adopt_changes(const adapter::object_changes& seen) -> void
{
    if (seen.revision > this->current_revision && this->listed) {
        this->apply(seen);
    }
}

auto store_mirror::adopt(std::int64_t newer,
                         std::vector<adapter::stored_object> objects) -> bool
{
    if (newer <= this->current_revision && this->listed) {
        return this->adopt_newer(std::move(objects));
    }
    this->current.clear();
    for (auto& object : objects) {
        auto name = object.name;
        this->current[std::move(name)] = std::move(object);
    }
    this->current_revision = newer;
    this->listed = true;
    this->forget_history();
    this->called.on_list();
    return true;
}

auto store_mirror::adopt_newer(std::vector<adapter::stored_object> objects)
    -> bool
{
    auto missed = adapter::object_changes();
    missed.revision = this->current_revision;
    for (auto& object : objects) {
        // Objects that are not in this mirror may have been removed since.
        const auto known = this->current.find(object.name);
        if (known != this->current.end() &&
            known->second.revision < object.revision) {
            missed.changes.push_back({std::move(object), false});
        }
    }
    return this->apply(missed);
}

} // namespace almondtiller::gateway
