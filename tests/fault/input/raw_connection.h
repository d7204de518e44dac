#pragma once

#include <string>

namespace almondtiller::fault {

/// A TCP connection for bytes that no HTTP client would send.
class raw_connection
{
public:
    explicit raw_connection(const std::string& address);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    auto operator=(const raw_connection&) -> raw_connection& = delete;

    /// \return False when the peer has closed the connection.
    auto send(const std::string& bytes) -> bool;
    auto shutdown_send() -> void;

    /// Reads until the peer closes the connection or 15 seconds have passed.
    auto read_all() -> std::string;

private:
    int socket;
};

} // namespace almondtiller::fault
