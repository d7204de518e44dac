#pragma once

#include "core/histogram.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondtiller::core {

/// Label names and values of one time series, in the order of exposition.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

enum class metric_kind
{
    counter,
    gauge,
    histogram,
};

/// Describes a family of time series; the reference page is generated from it.
struct metric_info
{
    std::string_view name; ///< Prometheus name; counters end in _total.
    metric_kind kind;
    std::string_view help; ///< One sentence with the unit.

    auto operator==(const metric_info&) const -> bool = default;
};

/// A counter that is sharded by thread, so that increments do not contend.
class counter
{
public:
    counter();
    ~counter();
    counter(const counter&) = delete;
    auto operator=(const counter&) -> counter& = delete;

    auto add(std::uint64_t amount = 1) -> void;
    [[nodiscard]] auto value() const -> std::uint64_t;

private:
    struct shards;
    std::unique_ptr<shards> data;
};

/// A value that goes up and down.
class gauge
{
public:
    gauge();
    ~gauge();
    gauge(const gauge&) = delete;
    auto operator=(const gauge&) -> gauge& = delete;

    auto set(double value) -> void;
    [[nodiscard]] auto value() const -> double;

private:
    struct cell;
    std::unique_ptr<cell> data;
};

/// The metrics registry of a process. Returned references stay valid for its
/// lifetime; a lookup locks a mutex, so hot paths keep the reference.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    auto operator=(const metrics_registry&) -> metrics_registry& = delete;

    auto counter_for(const metric_info& info, const metric_labels& labels = {})
        -> counter&;
    auto gauge_for(const metric_info& info, const metric_labels& labels = {})
        -> gauge&;
    auto histogram_for(const metric_info& info,
                       const metric_labels& labels = {}) -> latency_histogram&;

    /// \return All series in Prometheus text exposition format 0.0.4.
    [[nodiscard]] auto expose() const -> std::string;

private:
    struct table;
    std::unique_ptr<table> data;
};

} // namespace almondtiller::core
