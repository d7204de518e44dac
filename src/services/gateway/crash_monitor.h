#pragma once

#include "dispatch/prompt_quarantine.h"
#include "event/loop.h"
#include "event/timer.h"
#include "services/gateway/crash_messages.h"
#include "services/gateway/event_log.h"
#include "services/gateway/peer_mesh.h"
#include "serving/upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace almondtiller::gateway {

/// Detects crashes of upstreams and shares with other nodes which requests were
/// there, so that all nodes reject prompts with a part that crashes upstreams,
/// and repeats of a request that does.
class crash_monitor
{
public:
    /// \param on_quarantine Called when a part or a request has been
    ///        quarantined.
    crash_monitor(event::loop& event_loop, peer_mesh& mesh, event_log& log,
                  std::function<void()> on_quarantine);

    /// Registers the handler for the observations of other nodes.
    auto serve() -> void;

    /// \param nodes Nodes to which observations are sent; all if empty.
    auto set_watchers(std::vector<core::node_id> nodes) -> void;

    /// An attempt has failed before its answer began.
    auto on_attempt_failed(const serving::upstream& upstream,
                           const serving::caller_request& request,
                           std::error_code error) -> void;
    /// The answer to a request has begun.
    auto on_answer_begun(const serving::caller_request& request) -> void;

    /// \return Why the request must not be sent: it or a part of its prompt is
    ///         in quarantine; std::nullopt if neither is.
    [[nodiscard]] auto quarantine_reason(const serving::caller_request& request)
        -> std::optional<std::string_view>;

    /// Adopts what another node has in quarantine.
    auto adopt(const core::node_id& peer, const dispatch::part_hashes& parts,
               const dispatch::part_hashes& requests) -> void;
    auto expire() -> void;

    /// \return The parts in quarantine, as reported to other nodes.
    [[nodiscard]] auto quarantined_parts() const -> dispatch::part_hashes;
    /// \return The fingerprints in quarantine, as reported to other nodes.
    [[nodiscard]] auto quarantined_requests() const -> dispatch::part_hashes;
    /// \return The number of crashes that this node has detected.
    [[nodiscard]] auto crash_count() const -> std::uint64_t;

private:
    auto probe(const serving::upstream& upstream) -> void;
    auto on_probed(const core::upstream_id& upstream, std::error_code error)
        -> void;
    /// Applies the crash of a message.
    /// \pre The message has a crash.
    auto apply(const crash_message& message) -> void;
    auto decide() -> void;
    /// \return The answers of the message with parts and fingerprints that were
    ///         suspected or in quarantine until now.
    auto apply_answers(const crash_message& message, std::string_view source)
        -> crash_message;
    /// Applies answers and shares those with suspected parts or fingerprints.
    auto learn_answers(const crash_message& message, std::string_view source)
        -> void;
    auto share(const crash_message& message) -> void;
    auto send(const core::node_id& node, const std::string& body) -> void;
    auto log_unreadable(const core::node_id& peer, std::error_code error)
        -> void;
    auto log_hashes(std::string_view event, const dispatch::part_hashes& hashes,
                    std::string_view source) -> void;

    event::loop& event_loop;
    peer_mesh& mesh;
    event_log& log;
    std::function<void()> on_quarantine;
    std::vector<core::node_id> watchers;
    /// Decides on the shared parts of prompts.
    dispatch::prompt_quarantine parts;
    /// Decides on whole requests, by their fingerprints.
    dispatch::prompt_quarantine requests;
    /// Crashes that are not confirmed yet.
    std::map<core::upstream_id, crash_message> probed;
    std::uint64_t crashes = 0;
    event::timer decision_timer;
    bool is_decision_scheduled = false;
    std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

} // namespace almondtiller::gateway
