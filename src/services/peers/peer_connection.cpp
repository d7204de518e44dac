#include "services/peers/peer_connection.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace almondtiller::services {

peer_connection::peer_connection(boost::asio::ip::tcp::socket socket,
                                 h2_role role, h2_hooks hooks,
                                 traffic_counters& counters,
                                 std::function<void()> on_closed)
    : socket(std::move(socket)),
      counters(counters),
      on_closed(std::move(on_closed)),
      h2(role, std::move(hooks))
{}

auto peer_connection::start() -> void
{
    auto ignored = boost::system::error_code();
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    this->read();
    this->flush();
}

auto peer_connection::flush() -> void
{
    if (this->is_writing || this->is_closed) {
        return;
    }
    this->write_buffer = this->h2.take_output();
    if (this->write_buffer.empty()) {
        return;
    }
    this->is_writing = true;
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->write_buffer),
        [self = this->shared_from_this()](const auto& error, std::size_t size) {
            self->is_writing = false;
            self->counters.sent += size;
            if (error) {
                self->fail();
            } else {
                self->flush();
            }
        });
}

auto peer_connection::close() -> void
{
    this->is_closed = true;
    auto ignored = boost::system::error_code();
    this->socket.close(ignored);
}

auto peer_connection::session() -> h2_session&
{
    return this->h2;
}

auto peer_connection::read() -> void
{
    this->socket.async_read_some(
        boost::asio::buffer(this->read_buffer),
        [self = this->shared_from_this()](const auto& error, std::size_t size) {
            if (self->is_closed) {
                return;
            }
            self->counters.received += size;
            if (error || self->h2.receive({self->read_buffer.data(), size})) {
                self->fail();
                return;
            }
            self->flush();
            if (!self->is_closed) {
                self->read();
            }
        });
}

auto peer_connection::fail() -> void
{
    if (this->is_closed) {
        return;
    }
    this->close();
    this->on_closed();
}

} // namespace almondtiller::services
