#pragma once

#include "services/execution/executor.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::services {

/// Passes a streamed answer from the thread that runs the request to the
/// thread that writes to the caller. Tokens that arrive together are taken
/// together. Real time only: both sides wait for sockets.
class event_queue
{
public:
    /// What is to be written next.
    struct batch
    {
        std::string events; ///< Text of server-sent events; may be empty.
        std::optional<run_conclusion> conclusion; ///< At the end.
    };

    auto push_token(std::uint64_t index, std::string_view text) -> void;
    auto push_conclusion(run_conclusion conclusion) -> void;

    /// Blocks until there is something to write.
    auto take() -> batch;

    /// Blocks until there is something to write.
    /// \return The conclusion when it came before the first token.
    auto wait_for_first() -> std::optional<run_conclusion>;

    /// The caller is gone: what comes is dropped.
    auto abandon() -> void;
    [[nodiscard]] auto is_abandoned() const -> bool;

private:
    [[nodiscard]] auto has_something() const -> bool;

    std::mutex mutex;
    std::condition_variable changed;
    std::string events;
    std::optional<run_conclusion> conclusion;
    std::atomic<bool> abandoned = false;
};

/// \return The last event of a stream.
[[nodiscard]] auto last_event(const run_conclusion& conclusion) -> std::string;

} // namespace almondtiller::services
