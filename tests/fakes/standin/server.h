#pragma once

#include <memory>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace almondtiller::standin {

/// An HTTP server with a thread for each connection, which ends the process
/// on SIGTERM. Create it before any other thread is started.
class server
{
public:
    server();
    ~server();
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;

    [[nodiscard]] auto http() -> httplib::Server&;

    /// Listens on \a address (IP and port; port 0 takes a free one), prints
    /// `listening IP:PORT` and serves until SIGTERM or SIGINT.
    /// \return The exit status of the program.
    auto run(const std::string& address) -> int;

private:
    struct state;
    std::unique_ptr<state> data;
};

/// Closes the connection of a request without an answer.
auto close_connection(const httplib::Request& request) -> void;

/// Answers with a JSON text.
auto answer_json(httplib::Response& response, int status,
                 const std::string& text) -> void;

} // namespace almondtiller::standin
