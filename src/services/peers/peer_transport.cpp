#include "services/peers/peer_transport.h"

#include "fleet/fleet_errc.h"
#include "services/peers/peer_channel.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>
#include <thread>
#include <utility>

namespace almondtiller::services {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using fleet::fleet_errc;

constexpr auto sweep_interval = std::chrono::milliseconds(50);

/// Maximum number of connections from peers.
constexpr auto max_incoming = std::size_t(2048);

auto parse_endpoint(const std::string& text) -> core::result<tcp::endpoint>
{
    const auto colon = text.rfind(':');
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        return make_error_code(fleet_errc::peer_unreachable);
    }
    const auto port = std::atoi(text.c_str() + colon + 1);
    return tcp::endpoint(address, std::uint16_t(port));
}

} // namespace

struct peer_transport::state : std::enable_shared_from_this<state>
{
    state(const core::runtime_clock& clock, std::string sender,
          request_hook on_request)
        : clock(clock),
          sender(std::move(sender)),
          on_request(std::move(on_request)),
          acceptor(this->context),
          timer(this->context),
          work_guard(this->context.get_executor()),
          random(core::system_seed())
    {}

    auto accept() -> void;
    auto serve(tcp::socket socket) -> void;
    auto sweep() -> void;
    auto add_call(const std::string& peer_address, peer_call call) -> void;
    auto close_all() -> void;

    const core::runtime_clock& clock;
    std::string sender;
    request_hook on_request;
    asio::io_context context;
    tcp::acceptor acceptor;
    asio::steady_timer timer;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard;
    core::random_source random;
    traffic_counters counters;
    std::map<std::string, std::shared_ptr<peer_channel>> channels;
    std::set<std::shared_ptr<peer_connection>> incoming;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

auto peer_transport::state::accept() -> void
{
    this->acceptor.async_accept([this](const auto& error, tcp::socket socket) {
        if (this->is_stopping) {
            return;
        }
        if (!error && this->incoming.size() < max_incoming) {
            this->serve(std::move(socket));
        }
        this->accept();
    });
}

auto peer_transport::state::serve(tcp::socket socket) -> void
{
    const auto weak_connection =
        std::make_shared<std::weak_ptr<peer_connection>>();
    auto hooks = h2_hooks();
    hooks.on_request = [this, weak_connection](std::int32_t stream,
                                               h2_request request) {
        auto reply = [weak = this->weak_from_this(), weak_connection,
                      stream](core::result<std::string> answer) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            asio::post(self->context, [weak_connection, stream,
                                       answer = std::move(answer)] {
                if (const auto connection = weak_connection->lock()) {
                    connection->session().submit_answer(stream, answer);
                    connection->flush();
                }
            });
        };
        this->on_request(std::move(request), std::move(reply));
    };
    auto connection = std::make_shared<peer_connection>(
        std::move(socket), h2_role::server, std::move(hooks), this->counters,
        [this, weak_connection] {
            this->incoming.erase(weak_connection->lock());
        });
    *weak_connection = connection;
    this->incoming.insert(connection);
    connection->start();
}

auto peer_transport::state::sweep() -> void
{
    this->timer.expires_after(sweep_interval);
    this->timer.async_wait([this](const auto& error) {
        if (error || this->is_stopping) {
            return;
        }
        const auto now = this->clock.now();
        for (const auto& [address, channel] : this->channels) {
            channel->sweep(now);
        }
        std::erase_if(this->channels, [](const auto& entry) {
            return entry.second->is_idle();
        });
        this->sweep();
    });
}

auto peer_transport::state::add_call(const std::string& peer_address,
                                     peer_call call) -> void
{
    if (this->is_stopping) {
        call.reply(make_error_code(fleet_errc::shutting_down));
        return;
    }
    auto& channel = this->channels[peer_address];
    if (!channel) {
        const auto target = parse_endpoint(peer_address);
        if (!target) {
            this->channels.erase(peer_address);
            call.reply(target.error());
            return;
        }
        channel = std::make_shared<peer_channel>(
            this->context, target.value(), this->clock, this->counters,
            this->random.below(UINT64_MAX));
    }
    channel->add(std::move(call));
}

auto peer_transport::state::close_all() -> void
{
    auto ignored = boost::system::error_code();
    this->acceptor.close(ignored);
    this->timer.cancel();
    for (const auto& [address, channel] : this->channels) {
        channel->stop(fleet_errc::shutting_down);
    }
    for (const auto& connection : this->incoming) {
        connection->close();
    }
    this->incoming.clear();
    this->work_guard.reset();
}

peer_transport::peer_transport(const core::runtime_clock& clock,
                               std::string sender, request_hook on_request)
    : data(std::make_shared<state>(clock, std::move(sender),
                                   std::move(on_request)))
{
    this->data->sweep();
    this->data->thread = std::thread([transport_state = this->data.get()] {
        transport_state->context.run();
    });
}

peer_transport::~peer_transport()
{
    this->stop();
}

auto peer_transport::bind(const std::string& address, int port)
    -> core::result<int>
{
    auto error = boost::system::error_code();
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return make_error_code(fleet_errc::address_unavailable);
    }
    auto& acceptor = this->data->acceptor;
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(tcp::endpoint(ip, std::uint16_t(port)), error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error_code(fleet_errc::address_unavailable);
    }
    return int(acceptor.local_endpoint().port());
}

auto peer_transport::accept() -> void
{
    asio::post(this->data->context, [transport_state = this->data.get()] {
        transport_state->accept();
    });
}

auto peer_transport::call(const std::string& peer_address,
                          const std::string& topic, const std::string& body,
                          core::milliseconds timeout, reply_handler reply)
    -> void
{
    auto call = peer_call{{topic, this->data->sender, body},
                          this->data->clock.now() + timeout,
                          std::move(reply)};
    if (this->data->is_stopping) {
        call.reply(make_error_code(fleet_errc::shutting_down));
        return;
    }
    asio::post(this->data->context,
               [transport_state = this->data.get(), peer_address,
                call = std::move(call)]() mutable {
                   transport_state->add_call(peer_address, std::move(call));
               });
}

auto peer_transport::stop() -> void
{
    if (!this->data->thread.joinable()) {
        return;
    }
    this->data->is_stopping = true;
    asio::post(this->data->context, [transport_state = this->data.get()] {
        transport_state->close_all();
    });
    this->data->thread.join();
}

auto peer_transport::traffic() const -> transport_traffic
{
    return {this->data->counters.sent, this->data->counters.received};
}

} // namespace almondtiller::services
