#pragma once

#include "platform/rollout_orders.h"
#include "rollout/report.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace almondtiller::rollout {

/// Reads an order and the state that its `status` gives it.
/// \return Empty if a field is missing, of another type or out of range.
[[nodiscard]] auto read_order(const adapter::stored_object& object)
    -> std::optional<order>;

/// \return The state in an object's status; empty if there is none, or one of
///         another version than the order's.
[[nodiscard]] auto read_state(const adapter::stored_object& object)
    -> std::optional<order_state>;

[[nodiscard]] auto is_final(std::optional<order_state> state) -> bool;
[[nodiscard]] auto text_of(order_state state) -> std::string_view;

/// An order as this node knows it.
struct known_order
{
    rollout::order order;
    /// When this node first knew it; its deadline counts from here.
    core::time_point known_since;
    serving::store_revision revision;
    /// State in the store.
    std::optional<order_state> stored;
    /// State in which the order has ended; empty while it runs.
    std::optional<order_state> ended;
    /// Whether the order was found valid and is carried out.
    bool has_begun = false;

    auto operator==(const known_order&) const -> bool = default;
};

/// An object that is no valid order, and why.
struct invalid_order
{
    std::string name;
    std::string reason;

    auto operator==(const invalid_order&) const -> bool = default;
};

/// What the order book asks about the node's configuration and upstreams.
struct order_facts
{
    std::function<bool(const serving::service_name&)> has_service;
    std::function<bool(const serving::service_name&, const std::string&)>
        has_version;
};

/// The orders in the store, and how earlier ones have ended. Load pattern: an
/// order is replaced or withdrawn while it is carried out, or reappears from an
/// older copy of the store.
class order_book
{
public:
    /// Applies all objects of the kind. An order that has ended still binds if
    /// its object is replaced by an invalid one.
    /// \return Those that have become invalid by it.
    auto read(const std::map<std::string, adapter::stored_object>& objects,
              core::time_point now) -> std::vector<invalid_order>;

    /// Begins the orders that are valid. One whose version has no upstream yet
    /// begins when the first appears before its deadline.
    /// \return Orders that are not valid, each once for its reason.
    auto begin_valid(const order_facts& facts, core::time_point now)
        -> std::vector<invalid_order>;

    /// Records how an order has ended. A state in the store prevails.
    /// \return Whether this was not known.
    auto end(const order& ended, order_state state) -> bool;

    /// Applies an object that the store has returned to a write.
    auto on_stored(const order& written, const serving::store_revision& at,
                   std::optional<order_state> state) -> void;

    /// \return The versions of a service whose orders were rolled back; without
    ///         that of the present order.
    [[nodiscard]] auto
    rejected_versions(const serving::service_name& service) const
        -> std::set<std::string>;

    /// \return The order of a service; nullptr if it has none.
    [[nodiscard]] auto find(const serving::service_name& service) const
        -> const known_order*;
    [[nodiscard]] auto orders() const
        -> const std::map<serving::service_name, known_order>&;

private:
    struct ended_order
    {
        rollout::order order;
        order_state state;
    };

    auto apply(const order& read, const adapter::stored_object& object,
               core::time_point now) -> void;
    auto adopt(known_order& known, std::optional<order_state> state) -> void;
    [[nodiscard]] auto ended_state(const order& wanted) const
        -> std::optional<order_state>;
    /// \return Whether the object was not reported with this reason before.
    auto note(const std::string& name, const std::string& reason) -> bool;

    std::map<serving::service_name, known_order> by_service;
    /// Orders that have ended, oldest first.
    std::deque<ended_order> history;
    /// The reported reason by the object's name.
    std::map<std::string, std::string> reported;
};

} // namespace almondtiller::rollout
