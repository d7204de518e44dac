#include "proxy.h"

// Boost 1.74's awaitable.hpp uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <set>

namespace almondtiller::fault_proxy {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto buffer_bytes = std::size_t(16384);
constexpr auto freeze_poll = std::chrono::milliseconds(5);

auto endpoint_of(const std::string& address) -> tcp::endpoint
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            std::uint16_t(std::stoi(address.substr(colon + 1)))};
}

/// One client's connection and the one to the target. Lives while one of its
/// callbacks is pending.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket accepted, const fault& current)
        : client(std::move(accepted)),
          target(client.get_executor()),
          current(current)
    {}

    auto start(const tcp::endpoint& to) -> void
    {
        this->target.async_connect(
            to, [self = this->shared_from_this()](const error_code& error) {
                if (error) {
                    self->reset();
                    return;
                }
                auto ignored = error_code();
                self->client.set_option(tcp::no_delay(true), ignored);
                self->target.set_option(tcp::no_delay(true), ignored);
                self->read(self->requests);
                self->read(self->answers);
            });
    }

    /// Closes both connections at once, so that both sides see a reset.
    auto reset() -> void
    {
        auto ignored = error_code();
        this->client.set_option(asio::socket_base::linger(true, 0), ignored);
        this->client.close(ignored);
        this->target.set_option(asio::socket_base::linger(true, 0), ignored);
        this->target.close(ignored);
    }

private:
    struct direction
    {
        explicit direction(tcp::socket& from, tcp::socket& to, bool is_answer)
            : from(from),
              to(to),
              is_answer(is_answer),
              timer(from.get_executor())
        {}

        tcp::socket& from;
        tcp::socket& to;
        bool is_answer;
        asio::steady_timer timer;
        std::array<char, buffer_bytes> buffer{};
        std::size_t filled = 0;
        std::uint64_t passed = 0;
    };

    auto read(direction& way) -> void
    {
        way.from.async_read_some(
            asio::buffer(way.buffer),
            [self = this->shared_from_this(), &way](const error_code& error,
                                                    std::size_t size) {
                if (error) {
                    self->end(way, error);
                    return;
                }
                way.filled = size;
                self->disturb(way);
            });
    }

    auto disturb(direction& way) -> void
    {
        switch (this->current.mode) {
        case fault_mode::delay:
            this->write_after(
                way, std::chrono::milliseconds(this->current.delay_ms));
            break;
        case fault_mode::black_hole:
            this->read(way);
            break;
        case fault_mode::refuse:
            this->reset();
            break;
        case fault_mode::cut:
            this->cut(way);
            break;
        case fault_mode::one_way:
            if (way.is_answer == this->current.to_client) {
                this->read(way);
            } else {
                this->write(way, 1);
            }
            break;
        case fault_mode::duplicate:
            this->write(way, this->starts_answer(way) ? 2 : 1);
            break;
        case fault_mode::freeze:
            this->wait_while_frozen(way);
            break;
        case fault_mode::pass:
            this->write(way, 1);
            break;
        }
    }

    [[nodiscard]] auto starts_answer(const direction& way) const -> bool
    {
        return way.is_answer && std::string_view(way.buffer.data(), way.filled)
                                    .starts_with("HTTP/1.");
    }

    auto cut(direction& way) -> void
    {
        const auto limit = this->current.after_bytes;
        const auto ends = way.is_answer && way.passed + way.filled > limit;
        if (ends) {
            way.filled = limit > way.passed ? limit - way.passed : 0;
        }
        this->write(way, 1, ends);
    }

    auto write(direction& way, int times, bool then_reset = false) -> void
    {
        way.passed += way.filled;
        asio::async_write(
            way.to, asio::buffer(way.buffer, way.filled),
            [self = this->shared_from_this(), &way, times,
             then_reset](const error_code& error, std::size_t /*size*/) {
                if (error || then_reset) {
                    self->reset();
                } else if (times > 1) {
                    self->write(way, times - 1);
                } else {
                    self->read(way);
                }
            });
    }

    auto write_after(direction& way, std::chrono::milliseconds pause) -> void
    {
        way.timer.expires_after(pause);
        way.timer.async_wait([self = this->shared_from_this(), &way](
                                 const error_code&) { self->write(way, 1); });
    }

    auto wait_while_frozen(direction& way) -> void
    {
        way.timer.expires_after(freeze_poll);
        way.timer.async_wait([self = this->shared_from_this(),
                              &way](const error_code&) { self->disturb(way); });
    }

    auto end(direction& way, const error_code& error) -> void
    {
        if (error != asio::error::eof) {
            this->reset();
            return;
        }
        auto ignored = error_code();
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::socket client;
    tcp::socket target;
    const fault& current;
    direction requests{client, target, false};
    direction answers{target, client, true};
};

} // namespace

struct proxy::state
{
    asio::io_context context;
    tcp::acceptor acceptor{this->context};
    tcp::endpoint target;
    fault current;
    std::set<std::weak_ptr<session>, std::owner_less<>> sessions;

    auto accept() -> void
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket accepted) {
                if (!error) {
                    this->open(std::move(accepted));
                }
                this->accept();
            });
    }

    auto open(tcp::socket accepted) -> void
    {
        std::erase_if(this->sessions,
                      [](const auto& one) { return one.expired(); });
        const auto opened =
            std::make_shared<session>(std::move(accepted), this->current);
        if (this->current.mode == fault_mode::refuse) {
            opened->reset();
            return;
        }
        this->sessions.insert(opened);
        opened->start(this->target);
    }

    auto apply(const fault& wanted) -> void
    {
        this->current = wanted;
        if (wanted.mode != fault_mode::refuse) {
            return;
        }
        for (const auto& weak : this->sessions) {
            if (const auto open = weak.lock()) {
                open->reset();
            }
        }
        this->sessions.clear();
    }
};

proxy::proxy(const std::string& listen, const std::string& target)
    : data(std::make_unique<state>())
{
    this->data->target = endpoint_of(target);
    const auto local = endpoint_of(listen);
    auto& acceptor = this->data->acceptor;
    acceptor.open(local.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen();
    this->data->accept();
}

proxy::~proxy() = default;

auto proxy::port() const -> int
{
    return this->data->acceptor.local_endpoint().port();
}

auto proxy::set_fault(const fault& wanted) -> void
{
    asio::post(this->data->context,
               [this, wanted] { this->data->apply(wanted); });
}

auto proxy::run() -> void
{
    this->data->context.run();
}

} // namespace almondtiller::fault_proxy
