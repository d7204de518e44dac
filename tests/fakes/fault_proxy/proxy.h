#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace almondtiller::fault_proxy {

enum class fault_mode
{
    pass,
    delay,      ///< Holds each piece back for a time.
    black_hole, ///< Drops every byte, in both directions.
    refuse,     ///< Resets open and new connections.
    cut,        ///< Resets a connection after so many bytes of answers.
    one_way,    ///< Drops the bytes of one direction.
    duplicate,  ///< Sends each HTTP answer that fits one piece twice.
    freeze,     ///< Holds every byte until the fault ends.
};

/// A fault of every connection, open ones included.
struct fault
{
    fault_mode mode = fault_mode::pass;
    std::int64_t delay_ms = 0;
    std::uint64_t after_bytes = 0;
    /// Direction that one_way drops: answers, or else requests.
    bool to_client = true;
};

/// A TCP proxy that disturbs what it passes on. The public functions may be
/// called from any thread.
class proxy
{
public:
    /// Listens on \a listen and connects to \a target; both IP and port.
    proxy(const std::string& listen, const std::string& target);
    ~proxy();
    proxy(const proxy&) = delete;
    auto operator=(const proxy&) -> proxy& = delete;

    [[nodiscard]] auto port() const -> int;
    auto set_fault(const fault& wanted) -> void;

    /// Passes bytes on until the process ends.
    auto run() -> void;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::fault_proxy
