#include "services/orders/engine_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondtiller::services {

namespace {

using nlohmann::json;

constexpr auto http_ok = 200;
constexpr auto http_conflict = 409;

/// A fixed width for the fencing number, so that the body's length is known
/// before the permit is asked. JSON allows the padding.
constexpr auto fencing_width = std::size_t(20);

auto make_client(const std::string& address, core::milliseconds timeout)
    -> httplib::Client
{
    auto client = httplib::Client("http://" + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

auto padded(std::uint64_t number) -> std::string
{
    const auto digits = std::to_string(number);
    return std::string(fencing_width - digits.size(), ' ') + digits;
}

auto body_with(const std::string& tail, std::uint64_t fencing) -> std::string
{
    return "{\"fencing\":" + padded(fencing) + "," + tail;
}

/// \return The members after the fencing number, with the closing brace.
auto body_tail(const std::string& order_id,
               const orders::desired_state& desired) -> std::string
{
    const auto document = json{{"order", order_id},
                               {"desired",
                                {{"models", desired.models},
                                 {"adapters", desired.adapters},
                                 {"role", desired.role}}}};
    return document.dump().substr(1);
}

auto to_error(const httplib::Result& answer) -> std::error_code
{
    if (!answer) {
        const auto was_sent =
            answer.error() != httplib::Error::Connection &&
            answer.error() != httplib::Error::ConnectionTimeout;
        return was_sent ? engine_errc::outcome_unknown
                        : engine_errc::unreachable;
    }
    if (answer->status == http_ok) {
        return {};
    }
    return answer->status == http_conflict ? engine_errc::stale_fencing
                                           : engine_errc::rejected;
}

} // namespace

auto fetch_report(const std::string& address, core::milliseconds timeout)
    -> core::result<engine_report>
{
    auto client = make_client(address, timeout);
    const auto answer = client.Get("/v1/load");
    if (!answer || answer->status != http_ok) {
        return make_error_code(engine_errc::unreachable);
    }
    try {
        const auto document = json::parse(answer->body);
        auto report = engine_report();
        report.is_loading = document.value("state", "") == "loading";
        const auto none = std::set<std::string>();
        report.state.models = document.value("models", none);
        report.state.adapters = document.value("adapters", none);
        report.state.role = document.value("role", "");
        return report;
    } catch (const json::exception&) {
        return make_error_code(engine_errc::malformed_answer);
    }
}

auto send_order(const std::string& address, const std::string& order_id,
                const orders::desired_state& desired,
                const order_permit& permit, core::milliseconds timeout)
    -> std::error_code
{
    auto client = make_client(address, timeout);
    const auto tail = body_tail(order_id, desired);
    const auto length = body_with(tail, 0).size();
    auto was_refused = false;
    const auto provide = [&](std::size_t, std::size_t,
                             httplib::DataSink& sink) {
        const auto fencing = permit();
        was_refused = !fencing;
        if (was_refused) {
            return false;
        }
        const auto body = body_with(tail, *fencing);
        return sink.write(body.data(), body.size());
    };
    const auto answer =
        client.Post("/v1/orders", length, provide, "application/json");
    if (was_refused) {
        return engine_errc::not_permitted;
    }
    return to_error(answer);
}

} // namespace almondtiller::services
