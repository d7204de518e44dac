#pragma once

#include "rollout/report.h"

#include <string>

namespace almondtiller::rollout {

/// Which upstreams of a service may get the next piece of work.
enum class version_choice
{
    any,      ///< No order binds.
    only_old, ///< Upstreams of other versions than the order's.
    only_new, ///< Upstreams of the order's version.
};

/// Applies the newest directive of an order at a node that places or sends
/// work. It keeps the share by an account of its own, so that the sum over all
/// nodes stays below the share. Load pattern: owners overlap and restart while
/// a bad version is observed.
class version_gate
{
public:
    /// Until the first directive nothing may go to the new version.
    version_gate(order roll_out, core::time_point now);

    /// Applies a directive, unless a newer one is in force. Also called when
    /// the coordinator confirms the directive in force, which ends its silence.
    /// \param placers Number of nodes that place work of the service, among
    ///        which extra requests are divided; at least 1.
    auto apply(const directive& newer, std::uint32_t placers,
               core::time_point now) -> void;

    /// The coordinator has not answered for so long that its directive may be
    /// outdated; in effect until the next directive.
    auto on_coordinator_silent() -> void;

    /// Counts an answer of the new version that failed or was slow.
    auto on_bad_answer() -> void;

    /// \return The versions that may get the next request. Each call that
    ///         returns only_new must be followed by record_sent() or by none if
    ///         no new upstream can take the request.
    [[nodiscard]] auto choose(core::time_point now) -> version_choice;

    /// Records that a request was placed.
    auto record_sent(bool is_new, core::time_point now) -> void;

    /// \return Whether work that was placed on an upstream may still be sent
    ///         there. Work for old upstreams may not be sent from the phase
    ///         promoting on, because a node that has reported no open work
    ///         there must not add any.
    [[nodiscard]] auto may_send(bool is_new) const -> bool;

    [[nodiscard]] auto in_force() const -> const directive&;

private:
    rollout::order roll_out;
    directive newest;
    std::uint32_t placers = 1;
    /// Requests that may go to the new version now.
    double credit = 0;
    core::time_point credited_at;
    bool is_silent = false;
    std::uint32_t bad_in_silence = 0;

    auto accrue(core::time_point now) -> void;
    [[nodiscard]] auto has_stopped() const -> bool;
};

} // namespace almondtiller::rollout
