#include "standin/orders.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondtiller::standin {

namespace {

using nlohmann::json;

constexpr auto http_ok = 200;
constexpr auto http_conflict = 409;

} // namespace

order_desk::order_desk(const core::runtime_clock& clock, bool checks_fencing,
                       core::milliseconds load_time, journal& record)
    : clock(clock),
      checks_fencing(checks_fencing),
      load_time(load_time),
      record(record)
{}

auto order_desk::take(const std::string& body, std::string& answer) -> int
{
    const auto order = json::parse(body);
    const auto fencing = order.at("fencing").get<std::uint64_t>();
    const auto wanted = order.at("desired");
    const auto guard = std::lock_guard(this->mutex);
    const auto is_stale = fencing < this->highest_fencing;
    const auto accepted = !(is_stale && this->checks_fencing);
    this->record.write({{"event", accepted ? "order" : "order_refused"},
                        {"order", order.at("order")},
                        {"fencing", fencing},
                        {"highest_fencing", this->highest_fencing},
                        {"desired", wanted}});
    if (!accepted) {
        answer =
            json{{"error", "stale_fencing"}, {"fencing", this->highest_fencing}}
                .dump();
        return http_conflict;
    }
    this->highest_fencing = std::max(this->highest_fencing, fencing);
    auto models = wanted.value("models", std::vector<std::string>());
    const auto is_new = [this](const std::string& model) {
        return std::find(this->loaded.begin(), this->loaded.end(), model) ==
               this->loaded.end();
    };
    const auto loads = std::count_if(models.begin(), models.end(), is_new);
    this->loading_until = std::max(this->loading_until, this->clock.now()) +
                          this->load_time * loads;
    this->loaded = std::move(models);
    this->desired = wanted.dump();
    answer = json{{"order", order.at("order")}, {"accepted", true}}.dump();
    return http_ok;
}

auto order_desk::is_loading() const -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return this->clock.now() < this->loading_until;
}

auto order_desk::models() const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    return this->clock.now() < this->loading_until ? "[]"
                                                   : json(this->loaded).dump();
}

auto order_desk::role() const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    return json::parse(this->desired).value("role", "");
}

} // namespace almondtiller::standin
