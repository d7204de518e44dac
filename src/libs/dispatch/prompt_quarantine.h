#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "serving/request.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondtiller::dispatch {

/// Hashes of prompt parts, in the order of the prompt. The fingerprint of a
/// request stands for a part that only its repeats share.
using part_hashes = std::vector<std::uint64_t>;

/// \return A hash of what the repeats of a request have in common: its target,
///         caller and body. Unlike its id, it is the same each time the caller
///         sends the request.
[[nodiscard]] auto request_fingerprint(const serving::caller_request& request)
    -> std::uint64_t;

/// \return The hashes of all parts but the last, which belongs to its request
///         only.
[[nodiscard]] auto shared_parts(const std::vector<serving::prompt_part>& prompt)
    -> part_hashes;

/// What a node knows about a part of a prompt.
struct known_part
{
    std::uint64_t part = 0;
    /// When an answer to a prompt with the part last began; empty if none is
    /// known.
    std::optional<core::time_point> answered_at;

    auto operator==(const known_part&) const -> bool = default;
};

/// A crash of an upstream.
struct upstream_crash
{
    core::upstream_id upstream;
    core::time_point at;
    /// The shared parts of each request whose answer had not begun.
    std::vector<std::vector<known_part>> requests;

    auto operator==(const upstream_crash&) const -> bool = default;
};

/// Finds the prompt parts that crash upstreams. An upstream crashes when it
/// begins to answer a prompt with such a part. A part is quarantined after
/// several crashes during which it was at the upstream, without an answer to a
/// prompt with it in between. Callers share some parts among most requests, so
/// such a part is at each crash, but answers with it begin elsewhere.
class prompt_quarantine
{
public:
    /// \param common_cause_period Crashes within this time count once, because
    ///        the upstreams may have been lost together, with a zone or a rack.
    ///        Zero if few parts are at several upstreams at the same time.
    explicit prompt_quarantine(core::duration common_cause_period);

    /// A crash was detected here or reported by another node.
    auto on_crash(const upstream_crash& crash) -> void;

    /// Decides on the crashes since the last call. To be called when all nodes
    /// had time to report them.
    /// \return The parts that are in quarantine from now on.
    auto decide(core::time_point now) -> part_hashes;

    /// Answers to prompts with these parts have begun, which shows that none of
    /// them crashed upstreams until then.
    /// \return Those that were suspected or in quarantine until now.
    auto on_answers(const std::vector<known_part>& parts, core::time_point now)
        -> std::vector<known_part>;

    /// \return The answers with parts of the crash's requests that are known
    ///         here and more recent than those known to its reporter.
    [[nodiscard]] auto newer_answers(const upstream_crash& crash) const
        -> std::vector<known_part>;

    /// Another node has these parts in quarantine.
    /// \return Those that were not in quarantine here.
    auto adopt(const part_hashes& parts, core::time_point now) -> part_hashes;

    /// \return The first of \a parts that is in quarantine. This extends its
    ///         quarantine, which ends some time after the last such request.
    auto find(const part_hashes& parts, core::time_point now)
        -> std::optional<std::uint64_t>;

    /// \return The parts whose quarantine has ended.
    auto expire(core::time_point now) -> part_hashes;

    /// \return The parts in quarantine.
    [[nodiscard]] auto parts() const -> part_hashes;

    /// \return When an answer to a prompt with the part last began; empty if
    ///         none is known.
    [[nodiscard]] auto answered_at(std::uint64_t part) const
        -> std::optional<core::time_point>;

private:
    struct known_crash : upstream_crash
    {
        bool is_undecided = true;
    };
    struct entry
    {
        bool is_active = false;
        /// Time of the crash after which the quarantine began.
        core::time_point since;
        /// End of the quarantine, or of the time for which its end is
        /// remembered.
        core::time_point until;
    };
    using answer_times = std::unordered_map<std::uint64_t, core::time_point>;

    auto record_answer(std::uint64_t part, core::time_point at) -> void;
    auto record(const upstream_crash& crash) -> void;
    [[nodiscard]] auto is_active(std::uint64_t part) const -> bool;
    [[nodiscard]] auto is_explained(const upstream_crash& crash) const -> bool;
    /// \return The number of separate crashes since the last answer with the
    ///         part.
    [[nodiscard]] auto count_crashes(std::uint64_t part) const -> std::size_t;
    /// \return The parts of the crash's requests that qualify for quarantine.
    [[nodiscard]] auto choose(const upstream_crash& crash,
                              bool is_answered) const -> part_hashes;
    [[nodiscard]] auto is_conclusive(std::uint64_t part,
                                     core::time_point at) const -> bool;

    core::duration common_cause_period;
    std::deque<known_crash> crashes;
    std::map<std::uint64_t, entry> entries;
    /// The more recent answers; the older ones are dropped all at once.
    answer_times answers;
    answer_times older_answers;
};

} // namespace almondtiller::dispatch
