#pragma once

#include <boost/container/flat_set.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::http1 {

/// What distinguishes a complete answer from all others on its connection. A
/// faulty server may send an answer a second time, in place of a later one.
struct answer_identity
{
    /// Values that no other answer contains; without any, a copy of the answer
    /// could be taken for a later answer.
    std::vector<std::string> values;
    /// False if the answer cannot be the one to the call.
    bool is_possible = true;
    /// Whether a copy of the answer does no harm: no other kind of call accepts
    /// it, and the caller reads nothing from it.
    bool is_interchangeable = false;

    auto operator==(const answer_identity&) const -> bool = default;
};

/// The values of all answers that one connection has carried. A copy arrives on
/// the connection of its original, so that the history is complete.
class answer_history
{
public:
    [[nodiscard]] auto contains(const std::string& value) const -> bool;

    /// Records the values of an answer.
    /// \return False, without recording any, if one of them is known or occurs
    ///         twice.
    [[nodiscard]] auto record(const std::vector<std::string>& values) -> bool;

    /// \return Whether the connection should carry no further answer, as the
    ///         history has reached its largest size.
    [[nodiscard]] auto is_full() const -> bool;

private:
    /// Hashes of the values.
    boost::container::flat_set<std::uint64_t> known;
};

} // namespace almondtiller::http1
