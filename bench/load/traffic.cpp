#include "load/traffic.h"

#include "core/random.h"
#include "harness/wait.h"

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

namespace almondtiller::load {

namespace {

/// Draws a class for each arrival, the same for the same seed.
auto draw_classes(const traffic_plan& plan, std::size_t count)
    -> std::vector<std::size_t>
{
    auto random = core::random_source(plan.seed + 1);
    auto total = 0.0;
    for (const auto& kind : plan.classes) {
        total += kind.weight;
    }
    auto drawn = std::vector<std::size_t>();
    for (auto index = std::size_t(0); index < count; ++index) {
        auto left = random.unit() * total;
        auto chosen = std::size_t(0);
        while (chosen + 1 < plan.classes.size() &&
               left >= plan.classes[chosen].weight) {
            left -= plan.classes[chosen].weight;
            ++chosen;
        }
        drawn.push_back(chosen);
    }
    return drawn;
}

} // namespace

traffic::traffic(traffic_plan wanted, traffic_sender sender)
    : plan(std::move(wanted)), send(std::move(sender))
{
    this->thread = std::thread([this] {
        const auto arrivals = poisson_schedule(
            this->plan.rate, this->plan.length, this->plan.seed);
        const auto classes = draw_classes(this->plan, arrivals.size());
        this->records.resize(arrivals.size());
        run_open_loop(arrivals, this->plan.workers,
                      [&](std::size_t index, std::size_t worker,
                          core::time_point intended) {
                          auto& record = this->records[index];
                          const auto& kind = this->plan.classes[classes[index]];
                          auto request = kind.request;
                          request.marker =
                              this->plan.prefix + "-" + std::to_string(index);
                          if (!kind.is_repeatable) {
                              request.idempotency_key = request.marker;
                          }
                          record.class_index = classes[index];
                          record.key = request.idempotency_key;
                          record.sent = intended;
                          record.result = this->send(worker, request, kind);
                          record.latency = harness::now() - intended;
                          record.attained =
                              record.result.last.outcome ==
                                  harness::call_outcome::complete &&
                              record.latency <= request.deadline;
                      });
    });
}

traffic::~traffic()
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

auto traffic::finish() -> const std::vector<traffic_record>&
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
    return this->records;
}

auto send_by_endpoints(const std::vector<std::string>& known,
                       const std::vector<std::string>& zones,
                       std::size_t workers) -> traffic_sender
{
    auto clients = std::make_shared<std::vector<harness::client>>();
    for (auto worker = std::size_t(0); worker < workers; ++worker) {
        auto own = known;
        std::rotate(own.begin(),
                    own.begin() + std::ptrdiff_t(worker % own.size()),
                    own.end());
        clients->emplace_back(own, zones[worker % zones.size()]);
    }
    return
        [clients](std::size_t worker, const auto& request, const auto& kind) {
            return (*clients)[worker].run(request, kind.is_repeatable);
        };
}

auto attainment(const std::vector<traffic_record>& records) -> double
{
    const auto whole =
        std::count_if(records.begin(), records.end(),
                      [](const auto& record) { return record.attained; });
    return records.empty() ? 0.0 : double(whole) / double(records.size());
}

auto count(const std::vector<traffic_record>& records,
           harness::call_outcome outcome) -> std::uint64_t
{
    return std::uint64_t(std::count_if(
        records.begin(), records.end(), [outcome](const auto& record) {
            return record.result.last.outcome == outcome;
        }));
}

auto describe(const std::vector<traffic_record>& records) -> std::string
{
    auto numbers = std::map<std::string, std::uint64_t>();
    for (const auto& record : records) {
        const auto& last = record.result.last;
        auto name = to_string(last.outcome);
        if (!last.code.empty()) {
            name += "/" + last.code;
        }
        ++numbers[name];
    }
    auto text = std::ostringstream();
    for (const auto& [name, number] : numbers) {
        text << name << '=' << number << ' ';
    }
    return text.str();
}

} // namespace almondtiller::load
