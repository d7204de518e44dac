#pragma once

#include <string>

namespace almondtiller::services {

/// A TCP connection to a port of this host, for callers that do not behave.
class raw_connection
{
public:
    explicit raw_connection(int port);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    auto operator=(const raw_connection&) -> raw_connection& = delete;

    auto send(const std::string& text) -> void;

    /// Sends the end of the stream; answers can still be read.
    auto close_half() -> void;

    /// \return What arrives up to \a end, or until the other side closes.
    auto read_to(const std::string& end) -> std::string;

    /// \return What arrives until the other side closes.
    auto read_all() -> std::string;

private:
    int descriptor = -1;
};

} // namespace almondtiller::services
