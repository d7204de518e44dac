#include "services/gateway/snapshot_codec.h"

#include "fleet/fleet_errc.h"

#include <zlib.h>

#include <array>
#include <cstdlib>
#include <limits>
#include <sstream>

namespace almondtiller::gateway {

namespace {

constexpr auto chunk_size = std::size_t(65536);
constexpr auto compression_word = std::string_view("z");

/// Releases a zlib stream for decompression on destruction.
struct inflate_guard
{
    z_stream stream{};

    inflate_guard() = default;
    inflate_guard(const inflate_guard&) = delete;
    auto operator=(const inflate_guard&) -> inflate_guard& = delete;
    ~inflate_guard()
    {
        inflateEnd(&this->stream);
    }
};

/// zlib takes a pointer to writable bytes, but only reads them.
auto input_of(std::string_view bytes) -> Bytef*
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

} // namespace

auto encode_snapshot_request(const snapshot_request& request) -> std::string
{
    auto text =
        std::to_string(request.kind) + " " + std::to_string(request.since);
    if (request.may_compress) {
        text += " " + std::string(compression_word);
    }
    if (request.era) {
        text += " " + std::to_string(*request.era);
    }
    return text;
}

auto decode_snapshot_request(const std::string& text) -> snapshot_request
{
    auto request = snapshot_request();
    auto words = std::istringstream(text);
    if (!(words >> request.kind >> request.since)) {
        request.kind = std::numeric_limits<std::size_t>::max();
        return request;
    }
    auto word = std::string();
    while (words >> word) {
        if (word == compression_word) {
            request.may_compress = true;
        } else {
            request.era = std::strtoll(word.c_str(), nullptr, 10);
        }
    }
    return request;
}

auto compress(std::string_view text) -> core::result<std::string>
{
    auto size = compressBound(uLong(text.size()));
    auto compressed = std::string(size, '\0');
    const auto status =
        compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                  input_of(text), uLong(text.size()), Z_BEST_SPEED);
    if (status != Z_OK) {
        return make_error_code(fleet::fleet_errc::message_too_large);
    }
    compressed.resize(size);
    return compressed;
}

auto decompress(std::string_view bytes) -> core::result<std::string>
{
    const auto malformed =
        make_error_code(fleet::fleet_errc::malformed_message);
    auto inflater = inflate_guard();
    auto& stream = inflater.stream;
    if (inflateInit(&stream) != Z_OK) {
        return malformed;
    }
    stream.next_in = input_of(bytes);
    stream.avail_in = uInt(bytes.size());
    auto text = std::string();
    auto chunk = std::array<char, chunk_size>();
    auto status = Z_OK;
    while (status == Z_OK) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = uInt(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
        if (text.size() > max_snapshot_bytes) {
            return malformed;
        }
    }
    if (status != Z_STREAM_END || stream.avail_in != 0) {
        return malformed;
    }
    return text;
}

} // namespace almondtiller::gateway
