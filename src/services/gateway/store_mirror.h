#pragma once

#include "event/timer.h"
#include "http1/client_pool.h"
#include "platform/store_calls.h"
#include "services/gateway/event_log.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::gateway {

/// \return The kind's name in log lines and metrics.
[[nodiscard]] auto text_of(adapter::object_kind kind) -> std::string_view;

/// A local copy of the store's objects of one kind, kept up to date by a list
/// and watches. It keeps its content while the store is unavailable, and never
/// returns to an older revision. When the store has been restored from a copy,
/// which its answers show by a later era, all objects are read again.
class store_mirror
{
public:
    struct hooks
    {
        /// Returns how long the store may hold the next watch open.
        std::function<core::milliseconds()> watch_wait;
        /// Called when single objects have changed.
        std::function<void(const std::vector<adapter::object_change>&)>
            on_changes;
        /// Called when all objects were replaced by a new list.
        std::function<void()> on_list;
        /// Called when an answer of the store shows a later era, before its
        /// objects are read; may be empty.
        std::function<void(std::int64_t era)> on_restored;
        /// Called on the first of consecutive failed calls; may be empty.
        std::function<void()> on_failed;
    };

    /// \param pause Time between a watch that returned changes and the next
    ///        one, so that one call returns changes that come together.
    store_mirror(event::loop& event_loop, http1::client_pool& calls,
                 core::endpoint store, adapter::object_kind kind,
                 core::milliseconds pause, event_log& log, hooks callbacks);

    auto start() -> void;

    /// Starts or stops calls to the store. While stopped, changes come from
    /// other nodes.
    auto set_following(bool follows) -> void;

    /// \return The changes since \a revision; std::nullopt if no list was read
    ///         or the history no longer reaches back to that revision.
    [[nodiscard]] auto
    changes_since(const serving::store_revision& revision) const
        -> std::optional<std::vector<adapter::object_change>>;

    /// Applies changes that another node has received, if they are newer.
    auto adopt_changes(const adapter::object_changes& received) -> void;

    /// Replaces the objects by a list that another node has read, if that list
    /// is newer; otherwise only updates known objects that are newer there.
    /// \return Whether the list or an object of it was applied.
    auto adopt(const serving::store_revision& revision,
               std::vector<adapter::stored_object> objects) -> bool;

    /// Reads all objects again, unless that has been done since the store was
    /// restored.
    /// \param era The store's present era.
    auto require_era(std::int64_t era) -> void;

    /// Cancels and repeats a call that has been open for longer than
    /// \a max_age. Used when the call has probably stopped receiving changes,
    /// as another node has a newer revision or the store has failed.
    auto restart_silent_call(core::milliseconds max_age) -> void;

    [[nodiscard]] auto objects() const
        -> const std::map<std::string, adapter::stored_object>&;
    [[nodiscard]] auto revision() const -> serving::store_revision;
    [[nodiscard]] auto kind() const -> adapter::object_kind;

    /// \return Whether a list was read from the store or from another node.
    [[nodiscard]] auto has_list() const -> bool;

    /// \return Whether the last completed call succeeded; false before the
    ///         first.
    [[nodiscard]] auto is_connected() const -> bool;
    [[nodiscard]] auto is_following() const -> bool;

    /// \return When a call to the store last failed; the epoch if none did.
    [[nodiscard]] auto last_failure() const -> core::time_point;

    /// \return When the store last failed to serve this node; the current time
    ///         while it does not, std::nullopt if it always has.
    [[nodiscard]] auto last_outage() const -> std::optional<core::time_point>;

    /// \return Calls to the store since the start.
    [[nodiscard]] auto calls_made() const -> std::uint64_t;

private:
    /// An answer of the store.
    struct store_answer
    {
        /// HTTP status; 0 if the call failed.
        int status = 0;
        std::string body;
        /// 0 if the answer states none.
        std::int64_t era = 0;
    };

    auto read_store() -> void;
    auto call(std::string request, core::milliseconds timeout,
              std::function<void(const store_answer&)> done) -> void;
    /// \return Whether the first list of the kind may be stale. The others are
    ///         needed before the node serves.
    [[nodiscard]] auto may_begin_stale() const -> bool;
    auto list(const std::string& after) -> void;
    auto on_page(const store_answer& answer) -> void;
    auto on_whole_list() -> void;
    auto watch() -> void;
    auto on_watch_answer(const store_answer& answer) -> void;
    /// \return Whether the answer is of another era than the one that is being
    ///         read; handles the answer then.
    auto check_era(const store_answer& answer) -> bool;
    auto cancel_call() -> void;
    /// Called before objects of a later era replace the present ones.
    auto begin_era(const serving::store_revision& first) -> void;
    auto fail(int status, std::string_view reason) -> void;
    /// A connection to the store ended while a watch was waiting. That is no
    /// outage unless the next call fails too.
    auto on_watch_cut() -> void;
    auto succeed() -> void;
    auto log_unreadable_entries(std::size_t entries) -> void;
    auto apply(const adapter::object_changes& received) -> bool;
    auto clear_history() -> void;
    /// Applies the newer objects of a list whose own revision is not newer, but
    /// which contains changes that this node has missed.
    auto adopt_newer_objects(std::vector<adapter::stored_object> objects)
        -> bool;

    event::loop& event_loop;
    http1::client_pool& pool;
    core::endpoint store;
    adapter::object_kind object_kind;
    core::milliseconds pause;
    event_log& log;
    hooks callbacks;
    std::map<std::string, adapter::stored_object> current;
    std::map<std::string, adapter::stored_object> incoming;
    /// Lowest revision among the pages read so far of the current list.
    serving::store_revision incoming_revision;
    serving::store_revision current_revision;
    /// Latest era that is known of the store.
    std::int64_t store_era = 0;
    /// Changes since history_start, oldest first.
    std::deque<adapter::object_change> history;
    serving::store_revision history_start;
    bool follows = true;
    bool listed = false;
    bool must_list = true;
    /// The next watch does not wait: it checks whether the store answers.
    bool must_probe = false;
    bool connected = false;
    /// Whether the current call checks if the store has failed, after the
    /// connection of a waiting watch has ended.
    bool is_checking_cut = false;
    core::time_point failed_at;
    /// The last failed call, or the first that succeeded after it.
    std::optional<core::time_point> outage_end;
    core::time_point call_started;
    int failures = 0;
    std::uint64_t call_count = 0;
    event::timer read_timer;
    event::timer timeout_timer;
    std::shared_ptr<http1::pooled_call> active;
};

} // namespace almondtiller::gateway
