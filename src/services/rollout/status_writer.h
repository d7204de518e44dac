#pragma once

#include "services/rollout/order_book.h"

#include <functional>
#include <memory>
#include <optional>
#include <system_error>

namespace almondtiller::rollout {

/// The store's response to the write of a status.
struct write_response
{
    /// No error, adapter_errc::conflict or not_found, or another if the write
    /// may or may not have been executed.
    std::error_code error;
    /// The object as it is in the store; empty if the response has none.
    std::optional<adapter::stored_object> present;
};

/// Writes the status of one order into the store and repeats that until it is
/// there. Load pattern: the store is unavailable for minutes, or executes
/// writes without answering; a second coordinator writes at the same time. Each
/// write holds for one revision of the object only, and a final state is never
/// replaced.
class status_writer
{
public:
    using respond = std::function<void(const write_response&)>;
    using send = std::function<void(
        const std::string& name, const adapter::rollout_status& status,
        const serving::store_revision& revision, respond done)>;

    /// \param on_present Called with the object that a response contains, if
    ///        it is that of the order.
    status_writer(
        rollout::order written, send write,
        std::function<void(const adapter::stored_object&)> on_present);

    /// Writes \a wanted if the store has another state and no write is open.
    /// \param known The order as read from the store.
    auto update(const known_order& known, order_state wanted,
                core::time_point now) -> void;

    /// \return Writes that were sent.
    [[nodiscard]] auto writes() const -> std::uint64_t;

private:
    auto on_response(const write_response& response) -> void;

    rollout::order order;
    send write;
    std::function<void(const adapter::stored_object&)> notify_present;
    /// Identifies the writer in callbacks that arrive after its end.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    bool is_open = false;
    bool has_failed = false;
    core::time_point last_write;
    std::uint64_t write_count = 0;
};

} // namespace almondtiller::rollout
