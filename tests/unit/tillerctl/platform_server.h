#pragma once

#include "platform_routes.h"

#include <httplib.h>

#include <atomic>
#include <string>
#include <thread>

namespace almondtiller::tillerctl {

/// An HTTP server on a free port, stopped at the end.
class scratch_server
{
public:
    auto start() -> void
    {
        this->http.set_tcp_nodelay(true);
        this->port = this->http.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->http.listen_after_bind(); });
        // httplib ignores stop() before the server runs.
        while (!this->http.is_running()) {
            std::this_thread::yield();
        }
    }
    scratch_server() = default;
    ~scratch_server()
    {
        this->http.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }
    scratch_server(const scratch_server&) = delete;
    auto operator=(const scratch_server&) -> scratch_server& = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }
    auto post(const std::string& path, const std::string& body) const -> void
    {
        httplib::Client("http://" + this->address())
            .Post(path, body, "application/json");
    }
    [[nodiscard]] auto get(const std::string& path) const -> std::string
    {
        return httplib::Client("http://" + this->address()).Get(path)->body;
    }

    httplib::Server http;
    int port = 0;
    std::thread thread;
};

/// The stand-in's object API and one node that says which revision it has.
class platform_server
{
public:
    platform_server() : routes(fake_platform::platform_options())
    {
        this->routes.install(this->platform.http);
        this->platform.start();
        this->node.http.Get("/v1/status", [this](const auto&, auto& response) {
            response.set_content(
                R"({"node":"n1","state":"serving","revision":)" +
                    std::to_string(this->node_revision.load()) + "}",
                "application/json");
        });
        this->node.http.Post("/v1/drain", [this](const auto&, auto& response) {
            ++this->drains;
            response.status = 202;
        });
        this->node.start();
        this->platform.post(
            "/admin/instances",
            R"({"instances":[{"id":"n1","role":"node","zone":"a","region":"r",
                "address":")" +
                this->node.address() +
                R"(","peer_address":"127.0.0.1:1","state":"live"}]})");
    }

    auto set_fault(const std::string& fault) const -> void
    {
        this->platform.post("/admin/fault", fault);
    }

    /// \return How often the platform was called.
    [[nodiscard]] auto stats() const -> std::string
    {
        return this->platform.get("/admin/stats");
    }

    std::atomic<std::uint64_t> node_revision = 0;
    std::atomic<int> drains = 0;
    fake_platform::platform_routes routes;
    scratch_server platform;
    scratch_server node;
};

} // namespace almondtiller::tillerctl
