#pragma once

#include "event/timer.h"
#include "http1/client_pool.h"
#include "platform/store_calls.h"
#include "services/gateway/event_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace almondtiller::gateway {

/// The entry in the store by which the other nodes know this one. A call that
/// the store has not answered may be executed seconds later, also one of an
/// earlier process of this node. Each write therefore names the revision that
/// it replaces or removes, and an entry that another write has removed or
/// replaced is written again.
class node_registration
{
public:
    /// \param on_changed Called when is_registered() has changed.
    node_registration(event::loop& event_loop, http1::client_pool& calls,
                      core::endpoint store, event_log& log,
                      std::function<void()> on_changed);

    auto set_entry(adapter::node_entry entry) -> void;

    /// Writes the entry and retries until that succeeds.
    auto announce() -> void;

    /// Handles the entries of all nodes, as read from the store.
    /// \param revision The store's revision up to which \a entries are
    /// complete.
    auto
    on_entries(const std::map<std::string, adapter::stored_object>& entries,
               const serving::store_revision& revision) -> void;

    /// Removes the entry, unless another process has replaced it; not retried.
    auto withdraw() -> void;

    [[nodiscard]] auto is_registered() const -> bool;

private:
    auto write() -> void;
    /// \param era The era that the answer states.
    auto on_written(std::error_code error, const std::string& body,
                    std::int64_t era) -> void;
    auto on_conflict(const core::result<adapter::stored_object>& present)
        -> void;
    /// Writes again, at once or, after several conflicts, after a delay.
    /// \param revision The revision that is replaced; {} if there is none.
    auto write_over(const serving::store_revision& revision) -> void;
    auto remove() -> void;
    auto retry_later(const std::string& reason) -> void;
    auto set_own_revision(const serving::store_revision& revision) -> void;
    [[nodiscard]] auto is_own(const adapter::stored_object& object) const
        -> bool;

    http1::client_pool& pool;
    core::endpoint store;
    event_log& log;
    std::function<void()> notify_changed;
    event::timer retry_timer;
    adapter::node_entry entry;
    /// Revision of this process's entry; {} while there is none.
    serving::store_revision own_revision;
    /// Revision of the entry that the next write replaces; {} if it creates
    /// one.
    serving::store_revision replaced_revision;
    bool is_announced = false;
    bool is_withdrawn = false;
    bool is_writing = false;
    /// Whether the last write failed because the entry had changed.
    bool had_conflict = false;
};

} // namespace almondtiller::gateway
