#include "services/gateway/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto buffer_bytes = std::size_t(128) << 10U;
/// Shares of the buffer that may be full when lines of lower severity are
/// written.
constexpr auto detail_share = 0.4;
constexpr auto notice_share = 0.8;
/// Largest number of lines per second of severity `detail`. More would take CPU
/// time that requests need.
constexpr auto max_details_per_second = 60U;
constexpr auto flush_delay = core::milliseconds(100);
/// Within this time the clocks of two machines drift apart by far less than the
/// duration of a request.
constexpr auto clock_interval = std::chrono::seconds(60);

auto append_value(std::string& line, const std::string& value) -> void
{
    if (!value.empty() && value.find_first_of(" \"\n=") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value) {
        line += character == '"' || character == '\n' ? '\'' : character;
    }
    line += '"';
}

} // namespace

auto ms_text(core::duration time) -> std::string
{
    return std::to_string(
        std::chrono::duration_cast<core::milliseconds>(time).count());
}

event_log::event_log(event::loop& loop, const core::runtime_clock& time,
                     int target, std::string name)
    : event_loop(loop),
      clock(time),
      descriptor(target),
      node(std::move(name)),
      flush_timer(loop, [this]() {
          this->is_flush_scheduled = false;
          this->flush();
      })
{
    const auto flags = fcntl(this->descriptor, F_GETFL);
    fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
}

auto event_log::has_room(severity level) -> bool
{
    if (level == severity::failure) {
        return this->buffer.size() < buffer_bytes;
    }
    if (level == severity::notice) {
        return double(this->buffer.size()) < notice_share * buffer_bytes;
    }
    const auto now = this->event_loop.now();
    if (now - this->second_start >= std::chrono::seconds(1)) {
        this->second_start = now;
        this->details_in_second = 0;
    }
    return ++this->details_in_second <= max_details_per_second &&
           double(this->buffer.size()) < detail_share * buffer_bytes;
}

auto event_log::append(std::string_view event,
                       std::span<const log_field> fields) -> void
{
    const auto uptime = std::chrono::duration_cast<core::milliseconds>(
        this->event_loop.now().time_since_epoch());
    auto& line = this->buffer;
    line += "ms=" + std::to_string(uptime.count()) + " node=" + this->node;
    line += " event=";
    line += event;
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    line += '\n';
}

auto event_log::write_clock() -> void
{
    const auto now = this->event_loop.now();
    if (this->clock_written_at &&
        now - *this->clock_written_at < clock_interval) {
        return;
    }
    this->clock_written_at = now;
    const auto wall = std::chrono::duration_cast<core::milliseconds>(
        this->clock.wall_now().time_since_epoch());
    const auto field = log_field{"wall_ms", std::to_string(wall.count())};
    this->append("clock", std::span(&field, 1));
}

auto event_log::write(severity level, std::string_view event,
                      std::initializer_list<log_field> fields) -> void
{
    this->write(level, event, std::span(fields.begin(), fields.size()));
}

auto event_log::write(severity level, std::string_view event,
                      std::span<const log_field> fields) -> void
{
    if (!this->has_room(level)) {
        ++this->dropped_lines;
        return;
    }
    this->write_clock();
    this->append(event, fields);
    if (!std::exchange(this->is_flush_scheduled, true)) {
        this->flush_timer.start(flush_delay);
    }
}

auto event_log::flush() -> void
{
    if (this->dropped_lines > this->reported_lines) {
        const auto field =
            log_field{"total", std::to_string(this->dropped_lines)};
        this->append("log_lines_dropped", std::span(&field, 1));
        this->reported_lines = this->dropped_lines;
    }
    const auto written =
        ::write(this->descriptor, this->buffer.data(), this->buffer.size());
    if (written > 0) {
        this->buffer.erase(0, std::size_t(written));
    }
    if (!this->buffer.empty() &&
        !std::exchange(this->is_flush_scheduled, true)) {
        this->flush_timer.start(flush_delay);
    }
}

auto event_log::dropped() const -> std::uint64_t
{
    return this->dropped_lines;
}

} // namespace almondtiller::gateway
