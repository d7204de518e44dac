#include "logging/logging.h"

#include <nlohmann/json.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>

#include <ostream>

namespace almondtiller::logging {

namespace {

namespace log = boost::log;

using attribute_list = std::vector<attribute>;
using sink = log::sinks::synchronous_sink<log::sinks::text_ostream_backend>;

constexpr auto time_attribute = "TimeStamp";
constexpr auto attributes_attribute = "Attributes";

auto time_text(const log::record_view& record) -> std::string
{
    const auto time =
        log::extract<boost::posix_time::ptime>(time_attribute, record);
    return time ? boost::posix_time::to_iso_extended_string(time.get()) + "Z"
                : std::string();
}

/// Quotes a value that is empty or contains white space, a quote or '='.
auto quoted(const std::string& value) -> std::string
{
    const auto is_word =
        !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
    return is_word ? value : nlohmann::json(value).dump();
}

auto write_text(const log::record_view& record, log::formatting_ostream& stream)
    -> void
{
    stream << "time=" << time_text(record);
    const auto attributes =
        log::extract<attribute_list>(attributes_attribute, record);
    for (const auto& entry : attributes.get()) {
        stream << ' ' << entry.key << '=' << quoted(entry.value);
    }
}

auto write_json(const log::record_view& record, log::formatting_ostream& stream)
    -> void
{
    auto line = nlohmann::ordered_json{{"time", time_text(record)}};
    const auto attributes =
        log::extract<attribute_list>(attributes_attribute, record);
    for (const auto& entry : attributes.get()) {
        line[entry.key] = entry.value;
    }
    stream << line.dump();
}

} // namespace

auto set_up(log_format format, std::ostream& stream) -> void
{
    auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    backend->auto_flush(true);
    // The formatter ends the line, so that line and end are one write: other
    // threads may write to the stream as well.
    backend->set_auto_newline_mode(log::sinks::disabled_auto_newline);
    auto frontend = boost::make_shared<sink>(backend);
    const auto write = format == log_format::json ? &write_json : &write_text;
    frontend->set_formatter(
        [write](const log::record_view& record, log::formatting_ostream& line) {
            write(record, line);
            line << '\n';
        });
    const auto core = log::core::get();
    core->remove_all_sinks();
    core->add_global_attribute(time_attribute, log::attributes::utc_clock());
    core->add_sink(frontend);
    core->set_logging_enabled(true);
}

auto shut_down() -> void
{
    log::core::get()->remove_all_sinks();
    log::core::get()->set_logging_enabled(false);
}

auto state_change(std::string_view event,
                  const std::vector<attribute>& attributes) -> void
{
    auto fields = attribute_list{{"event", std::string(event)}};
    fields.insert(fields.end(), attributes.begin(), attributes.end());
    auto source = log::sources::logger_mt();
    BOOST_LOG(source) << log::add_value(attributes_attribute, fields);
}

} // namespace almondtiller::logging
