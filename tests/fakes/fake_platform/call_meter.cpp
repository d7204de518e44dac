#include "call_meter.h"

#include <nlohmann/json.hpp>

namespace almondtiller::fake_platform {

call_meter::call_meter(std::uint64_t reads_per_second,
                       std::uint64_t writes_per_second)
    : reads_per_second(reads_per_second), writes_per_second(writes_per_second)
{}

auto call_meter::take(const std::string& caller, const std::string& what,
                      bool is_write, core::time_point now) -> bool
{
    const auto second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    auto& count = this->seconds[second.count()];
    auto& used = is_write ? count.writes : count.reads;
    const auto limit =
        is_write ? this->writes_per_second : this->reads_per_second;
    ++this->callers[caller];
    ++this->calls[what];
    if (limit > 0 && used >= limit) {
        ++count.refused;
        return false;
    }
    ++used;
    return true;
}

auto call_meter::text() const -> std::string
{
    auto by_second = nlohmann::json::array();
    auto total = second_count();
    for (const auto& [second, count] : this->seconds) {
        by_second.push_back({{"second", second},
                             {"reads", count.reads},
                             {"writes", count.writes},
                             {"refused", count.refused}});
        total.reads += count.reads;
        total.writes += count.writes;
        total.refused += count.refused;
    }
    return nlohmann::json{
        {"reads", total.reads},     {"writes", total.writes},
        {"refused", total.refused}, {"callers", this->callers},
        {"calls", this->calls},     {"seconds", by_second}}
        .dump();
}

} // namespace almondtiller::fake_platform
