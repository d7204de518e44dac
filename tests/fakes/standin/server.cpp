#include "standin/server.h"

#include <httplib.h>

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <limits>

namespace almondtiller::standin {

namespace {

constexpr auto max_descriptors = 1024;
constexpr auto keep_alive_seconds = 60;

/// Starts a thread whenever no idle one is left, so that a connection that
/// is kept alive never holds up another.
class growing_pool : public httplib::TaskQueue
{
public:
    auto enqueue(std::function<void()> task) -> void override
    {
        const auto guard = std::lock_guard(this->mutex);
        this->tasks.push_back(std::move(task));
        if (this->idle < this->tasks.size()) {
            std::thread([this] { this->work(); }).detach();
        }
        this->changed.notify_one();
    }

    auto shutdown() -> void override
    {}

private:
    [[noreturn]] auto work() -> void
    {
        auto lock = std::unique_lock(this->mutex);
        while (true) {
            ++this->idle;
            this->changed.wait(lock, [this] { return !this->tasks.empty(); });
            --this->idle;
            const auto task = std::move(this->tasks.front());
            this->tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::size_t idle = 0;
};

auto stop_signals() -> sigset_t
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

auto is_peer(int descriptor, const httplib::Request& request) -> bool
{
    auto peer = sockaddr_in();
    auto size = socklen_t(sizeof(peer));
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) !=
        0) {
        return false;
    }
    return ntohs(peer.sin_port) == request.remote_port;
}

} // namespace

struct server::state
{
    httplib::Server http;
};

server::server() : data(std::make_unique<state>())
{
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto& http = this->data->http;
    http.new_task_queue = [] {
        return new growing_pool();
    };
    http.set_keep_alive_max_count(std::numeric_limits<int>::max());
    http.set_keep_alive_timeout(keep_alive_seconds);
    http.set_tcp_nodelay(true);
}

server::~server() = default;

auto server::http() -> httplib::Server&
{
    return this->data->http;
}

auto server::run(const std::string& address) -> int
{
    const auto colon = address.rfind(':');
    const auto host = address.substr(0, colon);
    auto port =
        colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (port == 0) {
        port = this->data->http.bind_to_any_port(host);
    } else if (!this->data->http.bind_to_port(host, port)) {
        port = -1;
    }
    if (port <= 0) {
        std::cerr << "cannot listen on " << address << '\n';
        return 2;
    }
    std::thread([this] { this->data->http.listen_after_bind(); }).detach();
    std::cout << "listening " << host << ':' << port << std::endl;
    const auto signals = stop_signals();
    auto signal = 0;
    sigwait(&signals, &signal);
    std::_Exit(0);
}

auto close_connection(const httplib::Request& request) -> void
{
    for (auto descriptor = 0; descriptor < max_descriptors; ++descriptor) {
        if (is_peer(descriptor, request)) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

auto answer_json(httplib::Response& response, int status,
                 const std::string& text) -> void
{
    response.status = status;
    response.set_content(text, "application/json");
}

} // namespace almondtiller::standin
