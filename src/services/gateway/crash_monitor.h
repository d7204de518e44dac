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
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace almondtiller::gateway {

/// Detects crashes of upstreams and shares with other nodes which requests were
/// there, so that all nodes reject prompts with a part that crashes upstreams.
class crash_monitor
{
public:
    /// \param on_quarantine Called when a part has been quarantined.
    crash_monitor(event::loop& event_loop, peer_mesh& mesh, event_log& log,
                  std::function<void()> on_quarantine);

    /// Registers the handler for the observations of other nodes.
    auto serve() -> void;

    /// \param nodes Nodes to which observations are sent; all if empty.
    auto set_watchers(std::vector<core::node_id> nodes) -> void;

    /// An attempt has failed before its answer began.
    auto on_attempt_failed(const serving::upstream& upstream,
                           const std::vector<serving::prompt_part>& prompt,
                           std::error_code error) -> void;
    /// The answer to a prompt has begun.
    auto on_answer_begun(const std::vector<serving::prompt_part>& prompt)
        -> void;

    /// \return Whether the prompt has a part that is in quarantine.
    [[nodiscard]] auto
    is_quarantined(const std::vector<serving::prompt_part>& prompt) -> bool;

    /// Adopts the parts that another node has in quarantine.
    auto adopt(const core::node_id& peer, const dispatch::part_hashes& parts)
        -> void;
    auto expire() -> void;

    /// \return The parts in quarantine, those that other nodes are told.
    [[nodiscard]] auto quarantined() const -> dispatch::part_hashes;
    /// \return The number of crashes that this node has detected.
    [[nodiscard]] auto crash_count() const -> std::uint64_t;

private:
    auto probe(const serving::upstream& upstream) -> void;
    auto on_probed(const core::upstream_id& upstream, std::error_code error)
        -> void;
    auto apply(const dispatch::upstream_crash& crash) -> void;
    auto decide() -> void;
    /// \return The parts that were suspected or in quarantine until now.
    auto apply_answers(const std::vector<dispatch::known_part>& answers,
                       std::string_view source)
        -> std::vector<dispatch::known_part>;
    /// Applies answers and shares those with suspected parts.
    auto learn_answers(const std::vector<dispatch::known_part>& answers,
                       std::string_view source) -> void;
    auto share(const crash_message& message) -> void;
    auto send(const core::node_id& node, const std::string& body) -> void;
    auto log_unreadable(const core::node_id& peer, std::error_code error)
        -> void;
    auto log_parts(std::string_view event, const dispatch::part_hashes& parts,
                   std::string_view source) -> void;

    event::loop& event_loop;
    peer_mesh& mesh;
    event_log& log;
    std::function<void()> on_quarantine;
    std::vector<core::node_id> watchers;
    dispatch::prompt_quarantine quarantine;
    /// Crashes that are not confirmed yet.
    std::map<core::upstream_id, dispatch::upstream_crash> probed;
    std::uint64_t crashes = 0;
    event::timer decision_timer;
    bool is_decision_scheduled = false;
    std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

} // namespace almondtiller::gateway
