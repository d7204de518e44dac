#include "h2/h2_session.h"

#include "fleet/fleet_errc.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

namespace almondtiller::h2 {

namespace {

using fleet::fleet_errc;

constexpr auto status_ok = std::string_view("200");
constexpr auto status_failed = std::string_view("422");
constexpr auto window_bytes = std::int32_t(1) << 20U;

auto header(std::string_view name, std::string_view value) -> nghttp2_nv
{
    const auto bytes = [](std::string_view text) {
        // nghttp2 takes mutable pointers but does not write to them.
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

auto text_of(const std::uint8_t* bytes, std::size_t size) -> std::string
{
    return {reinterpret_cast<const char*>(bytes), size};
}

/// \return The error that the peer sent. Only errors of the fleet category are
///         transmitted; others arrive as peer_failed.
auto remote_error(const std::string& value) -> std::error_code
{
    const auto number = std::atoi(value.c_str());
    return number > 0 ? std::error_code(number, fleet::fleet_category())
                      : make_error_code(fleet_errc::peer_failed);
}

auto error_header(const std::error_code& error) -> std::string
{
    const auto is_fleet_error = error.category() == fleet::fleet_category();
    return std::to_string(is_fleet_error ? error.value()
                                         : int(fleet_errc::peer_failed));
}

/// A request and its response.
struct h2_stream
{
    h2_request request;
    std::string status;
    std::string error;
    std::string received_body;
    std::string outgoing_body;
    std::size_t sent_bytes = 0;
    bool is_answered = false;
};

} // namespace

struct h2_session::state
{
    h2_role role = h2_role::client;
    h2_hooks hooks;
    nghttp2_session* session = nullptr;
    std::map<std::int32_t, h2_stream> streams;

    ~state()
    {
        nghttp2_session_del(this->session);
    }

    auto find(std::int32_t id) -> h2_stream*
    {
        const auto found = this->streams.find(id);
        return found == this->streams.end() ? nullptr : &found->second;
    }

    auto on_message_end(std::int32_t id) -> void
    {
        auto* stream = this->find(id);
        if (stream == nullptr || stream->is_answered) {
            return;
        }
        if (this->role == h2_role::server) {
            stream->request.body = std::move(stream->received_body);
            this->hooks.on_request(id, std::move(stream->request));
            return;
        }
        stream->is_answered = true;
        if (stream->status == status_ok) {
            this->hooks.on_answer(id, std::move(stream->received_body));
        } else {
            this->hooks.on_answer(id, remote_error(stream->error));
        }
    }

    auto on_stream_closed(std::int32_t id) -> void
    {
        const auto* stream = this->find(id);
        const auto is_open = stream != nullptr && !stream->is_answered;
        this->streams.erase(id);
        if (!is_open) {
            return;
        }
        if (this->role == h2_role::client) {
            this->hooks.on_answer(id, make_error_code(fleet_errc::peer_failed));
        } else if (this->hooks.on_cancelled) {
            this->hooks.on_cancelled(id);
        }
    }
};

/// The callbacks that nghttp2 calls.
struct h2_callbacks
{
    template <typename State>
    static auto install(nghttp2_session_callbacks* callbacks) -> void
    {
        nghttp2_session_callbacks_set_on_begin_headers_callback(
            callbacks,
            [](nghttp2_session*, const nghttp2_frame* frame, void* user) {
                static_cast<State*>(user)->streams[frame->hd.stream_id];
                return 0;
            });
        nghttp2_session_callbacks_set_on_header_callback(
            callbacks, [](nghttp2_session*, const nghttp2_frame* frame,
                          const std::uint8_t* name, std::size_t name_size,
                          const std::uint8_t* value, std::size_t value_size,
                          std::uint8_t, void* user) {
                on_header(static_cast<State*>(user)->find(frame->hd.stream_id),
                          text_of(name, name_size), text_of(value, value_size));
                return 0;
            });
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            callbacks,
            [](nghttp2_session*, std::uint8_t, std::int32_t id,
               const std::uint8_t* bytes, std::size_t size, void* user) {
                return on_data(static_cast<State*>(user)->find(id), bytes,
                               size);
            });
        nghttp2_session_callbacks_set_on_frame_recv_callback(
            callbacks,
            [](nghttp2_session*, const nghttp2_frame* frame, void* user) {
                const auto is_message = frame->hd.type == NGHTTP2_HEADERS ||
                                        frame->hd.type == NGHTTP2_DATA;
                if (is_message &&
                    (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
                    static_cast<State*>(user)->on_message_end(
                        frame->hd.stream_id);
                }
                return 0;
            });
        nghttp2_session_callbacks_set_on_stream_close_callback(
            callbacks,
            [](nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
                static_cast<State*>(user)->on_stream_closed(id);
                return 0;
            });
    }

    static auto on_header(h2_stream* stream, const std::string& name,
                          const std::string& value) -> void
    {
        if (stream == nullptr) {
            return;
        }
        if (name == ":path") {
            stream->request.topic = value.substr(1);
        } else if (name == "x-sender") {
            stream->request.sender = value;
        } else if (name == ":status") {
            stream->status = value;
        } else if (name == "x-error") {
            stream->error = value;
        }
    }

    static auto on_data(h2_stream* stream, const std::uint8_t* bytes,
                        std::size_t size) -> int
    {
        if (stream == nullptr) {
            return 0;
        }
        if (stream->received_body.size() + size > max_peer_body_bytes) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        stream->received_body.append(reinterpret_cast<const char*>(bytes),
                                     size);
        return 0;
    }

    static auto read_body(nghttp2_session*, std::int32_t, std::uint8_t* target,
                          std::size_t size, std::uint32_t* flags,
                          nghttp2_data_source* source, void*) -> ssize_t
    {
        auto& stream = *static_cast<h2_stream*>(source->ptr);
        const auto left = stream.outgoing_body.size() - stream.sent_bytes;
        const auto consumed = std::min(size, left);
        std::memcpy(target, stream.outgoing_body.data() + stream.sent_bytes,
                    consumed);
        stream.sent_bytes += consumed;
        if (consumed == left) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return ssize_t(consumed);
    }
};

h2_session::h2_session(h2_role role, h2_hooks hooks)
    : data(std::make_unique<state>())
{
    this->data->role = role;
    this->data->hooks = std::move(hooks);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    h2_callbacks::install<state>(callbacks);
    if (role == h2_role::client) {
        nghttp2_session_client_new(&this->data->session, callbacks,
                                   this->data.get());
    } else {
        nghttp2_session_server_new(&this->data->session, callbacks,
                                   this->data.get());
    }
    nghttp2_session_callbacks_del(callbacks);
    const auto settings = std::array{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               std::uint32_t(max_peer_streams)},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               std::uint32_t(window_bytes)}};
    nghttp2_submit_settings(this->data->session, NGHTTP2_FLAG_NONE,
                            settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->data->session,
                                          NGHTTP2_FLAG_NONE, 0, window_bytes);
}

h2_session::~h2_session() = default;

auto h2_session::receive(std::string_view bytes) -> std::error_code
{
    const auto consumed = nghttp2_session_mem_recv(
        this->data->session,
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (consumed < 0 || std::size_t(consumed) != bytes.size()) {
        return fleet_errc::malformed_message;
    }
    return {};
}

auto h2_session::take_output() -> std::string
{
    auto output = std::string();
    while (true) {
        const std::uint8_t* bytes = nullptr;
        const auto size = nghttp2_session_mem_send(this->data->session, &bytes);
        if (size <= 0) {
            return output;
        }
        output.append(reinterpret_cast<const char*>(bytes), std::size_t(size));
    }
}

auto h2_session::submit_request(const h2_request& request)
    -> core::result<std::int32_t>
{
    if (request.body.size() > max_peer_body_bytes) {
        return make_error_code(fleet_errc::message_too_large);
    }
    if (this->data->streams.size() >= max_peer_streams) {
        return make_error_code(fleet_errc::too_many_calls);
    }
    const auto path = "/" + request.topic;
    const auto headers =
        std::array{header(":method", "POST"), header(":scheme", "http"),
                   header(":authority", "peer"), header(":path", path),
                   header("x-sender", request.sender)};
    auto stream = h2_stream();
    stream.outgoing_body = request.body;
    const auto id = nghttp2_session_get_next_stream_id(this->data->session);
    auto& stored = this->data->streams[std::int32_t(id)] = std::move(stream);
    auto body = nghttp2_data_provider();
    body.source.ptr = &stored;
    body.read_callback = h2_callbacks::read_body;
    const auto submitted =
        nghttp2_submit_request(this->data->session, nullptr, headers.data(),
                               headers.size(), &body, nullptr);
    if (submitted < 0) {
        this->data->streams.erase(std::int32_t(id));
        return make_error_code(fleet_errc::peer_unreachable);
    }
    return submitted;
}

auto h2_session::submit_answer(std::int32_t stream,
                               const core::result<std::string>& answer) -> void
{
    auto* stored = this->data->find(stream);
    if (stored == nullptr) {
        return;
    }
    stored->is_answered = true;
    if (!answer) {
        const auto error = error_header(answer.error());
        const auto headers = std::array{header(":status", status_failed),
                                        header("x-error", error)};
        nghttp2_submit_response(this->data->session, stream, headers.data(),
                                headers.size(), nullptr);
        return;
    }
    stored->outgoing_body = answer.value();
    const auto headers = std::array{header(":status", status_ok)};
    auto body = nghttp2_data_provider();
    body.source.ptr = stored;
    body.read_callback = h2_callbacks::read_body;
    nghttp2_submit_response(this->data->session, stream, headers.data(),
                            headers.size(), &body);
}

auto h2_session::held_bytes() const -> std::size_t
{
    auto bytes = std::size_t(0);
    for (const auto& [id, stream] : this->data->streams) {
        bytes += stream.received_body.size() + stream.outgoing_body.size() +
                 stream.request.topic.size() + stream.request.sender.size();
    }
    return bytes;
}

auto h2_session::cancel(std::int32_t stream) -> void
{
    if (auto* stored = this->data->find(stream)) {
        stored->is_answered = true;
        nghttp2_submit_rst_stream(this->data->session, NGHTTP2_FLAG_NONE,
                                  stream, NGHTTP2_CANCEL);
    }
}

} // namespace almondtiller::h2
