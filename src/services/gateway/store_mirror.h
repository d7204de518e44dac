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

/// The objects of one kind, kept up to date by a list and watches. Goes on
/// with what it has while the store is away, and never back to an older
/// revision.
class store_mirror
{
public:
    struct hooks
    {
        /// How long a watch may wait.
        std::function<core::milliseconds()> watch_wait;
        /// A change of single objects.
        std::function<void(const std::vector<adapter::object_change>&)>
            on_changes;
        /// All objects anew.
        std::function<void()> on_list;
        /// The store has failed to answer.
        std::function<void()> on_failed;
    };

    /// \param pause Time between two watches: changes that come together are
    ///        then fetched by one call.
    store_mirror(event::loop& owner, http1::client_pool& calls,
                 core::endpoint store, adapter::object_kind kind,
                 core::milliseconds pause, event_log& log, hooks called);

    auto start() -> void;

    /// While false, the store is not asked; others tell what changes.
    auto set_following(bool follows) -> void;

    /// \return What has changed since \a revision, nothing if that is not
    ///         known any more.
    [[nodiscard]] auto changes_since(std::int64_t revision) const
        -> std::optional<std::vector<adapter::object_change>>;

    /// Takes changes that another node has seen, if they are newer.
    auto adopt_changes(const adapter::object_changes& seen) -> void;

    /// Takes objects that another node has read, if they are newer.
    /// \return Whether they were.
    auto adopt(std::int64_t revision,
               std::vector<adapter::stored_object> objects) -> bool;

    /// Another node knows a newer revision: a watch that waits since longer
    /// than \a patience has gone silent and is made anew.
    auto nudge(core::milliseconds patience) -> void;

    [[nodiscard]] auto objects() const
        -> const std::map<std::string, adapter::stored_object>&;
    [[nodiscard]] auto revision() const -> std::int64_t;
    [[nodiscard]] auto kind() const -> adapter::object_kind;

    /// \return Whether a list was read, from the store or another node.
    [[nodiscard]] auto has_list() const -> bool;

    /// \return Whether the store answers this kind's calls.
    [[nodiscard]] auto is_connected() const -> bool;
    [[nodiscard]] auto is_following() const -> bool;

    /// \return When the store last failed to answer, the epoch if never.
    [[nodiscard]] auto last_failure() const -> core::time_point;

    /// \return Calls made since the start.
    [[nodiscard]] auto calls_made() const -> std::uint64_t;

private:
    auto read() -> void;
    auto call(std::string request, core::milliseconds limit,
              std::function<void(int, std::string)> done) -> void;
    /// \return Whether the kind's lists take several pages.
    [[nodiscard]] auto has_many() const -> bool;
    auto list(const std::string& after) -> void;
    auto on_page(int status, const std::string& body) -> void;
    auto watch() -> void;
    auto on_watched(int status, const std::string& body) -> void;
    auto fail(int status, std::string_view reason) -> void;
    auto succeed() -> void;
    auto count_unreadable(std::size_t entries) -> void;
    auto apply(const adapter::object_changes& seen) -> bool;
    auto forget_history() -> void;
    /// Takes the objects of a list that is not newer as a whole, but holds
    /// changes that this node has missed.
    auto adopt_newer(std::vector<adapter::stored_object> objects) -> bool;

    event::loop& owner;
    http1::client_pool& pool;
    core::endpoint store;
    adapter::object_kind object_kind;
    core::milliseconds pause;
    event_log& log;
    hooks called;
    std::map<std::string, adapter::stored_object> current;
    std::map<std::string, adapter::stored_object> incoming;
    /// The oldest page's of the list that is being read.
    std::int64_t incoming_revision = 0;
    std::int64_t current_revision = 0;
    /// Changes since history_start, oldest first.
    std::deque<adapter::object_change> history;
    std::int64_t history_start = 0;
    bool follows = true;
    bool listed = false;
    bool must_list = true;
    /// The next watch returns at once: it shows whether the store answers.
    bool must_probe = false;
    bool connected = false;
    core::time_point failed_at;
    core::time_point called_at;
    int failures = 0;
    std::uint64_t made = 0;
    event::timer next;
    event::timer limit;
    std::shared_ptr<http1::pooled_call> active;
};

} // namespace almondtiller::gateway
