#pragma once

#include <initializer_list>

#include <csignal>

namespace almondtiller::event {

/// Holds signals back from its construction on, so that one that arrives before
/// its handler is installed waits for the handler and does not terminate the
/// process.
class signal_hold
{
public:
    signal_hold(std::initializer_list<int> numbers);
    ~signal_hold();
    signal_hold(const signal_hold&) = delete;
    auto operator=(const signal_hold&) -> signal_hold& = delete;

    /// Delivers the signals that have arrived, and later ones at once.
    auto release() -> void;

private:
    sigset_t held{};
};

} // namespace almondtiller::event
