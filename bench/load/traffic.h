#pragma once

#include "harness/client.h"
#include "load/open_loop.h"
#include "load/report.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace almondtiller::load {

/// One kind of request in the mix.
struct traffic_class
{
    std::string name;
    harness::call_request request;
    bool is_repeatable = true;
    /// Share of the requests of this class.
    double weight = 1.0;
};

/// What to send, and how much of it.
struct traffic_plan
{
    std::vector<traffic_class> classes;
    double rate = 50.0;
    core::duration length = std::chrono::seconds(5);
    std::uint64_t seed = 1;
    std::size_t workers = 64;
    /// Before each marker and key, so that runs do not meet.
    std::string prefix = "t";
};

/// One request and what came of it.
struct traffic_record
{
    std::size_t class_index = 0;
    std::string key; ///< Empty for classes without keys.
    core::time_point sent;
    core::duration latency{};
    /// Whether it was answered whole within its deadline.
    bool attained = false;
    harness::client_result result;
};

/// Sends one request, on a worker's own thread.
using traffic_sender = std::function<harness::client_result(
    std::size_t worker, const harness::call_request& request,
    const traffic_class& kind)>;

/// Sends traffic on a schedule of its own thread. Requests that may not be
/// repeated get a key each.
class traffic
{
public:
    traffic(traffic_plan plan, traffic_sender send);
    ~traffic();
    traffic(const traffic&) = delete;
    auto operator=(const traffic&) -> traffic& = delete;

    /// Waits for the end of the schedule and of every answer.
    /// \return Every record, by the order of sending.
    auto finish() -> const std::vector<traffic_record>&;

private:
    traffic_plan plan;
    traffic_sender send;
    std::vector<traffic_record> records;
    std::thread thread;
};

/// \return A sender with one client a worker, spread over the zones.
auto send_by_endpoints(const std::vector<std::string>& known,
                       const std::vector<std::string>& zones,
                       std::size_t workers) -> traffic_sender;

/// \return The share that was answered whole within its deadline.
auto attainment(const std::vector<traffic_record>& records) -> double;

/// \return How many ended with \a outcome.
auto count(const std::vector<traffic_record>& records,
           harness::call_outcome outcome) -> std::uint64_t;

/// \return How many of each outcome and code, for messages.
auto describe(const std::vector<traffic_record>& records) -> std::string;

} // namespace almondtiller::load
