#include "core/metrics.h"

#include <tbb/enumerable_thread_specific.h>

#include <atomic>
#include <map>
#include <mutex>
#include <sstream>

namespace almondtiller::core {

namespace {

/// Upper edges of the exposed histogram buckets, in seconds.
const auto exposed_edges =
    std::vector<double>{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                        0.25,   0.5,   1.0,    2.5,   5.0,  10.0,  30.0, 60.0};

auto kind_text(metric_kind kind) -> std::string_view
{
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::histogram:
        return "histogram";
    }
    return "untyped";
}

auto escape_label(const std::string& value) -> std::string
{
    auto escaped = std::string();
    for (const auto letter : value) {
        if (letter == '\\' || letter == '"') {
            escaped += '\\';
        }
        escaped += letter == '\n' ? ' ' : letter;
    }
    return escaped;
}

auto label_text(const metric_labels& labels) -> std::string
{
    auto text = std::string();
    for (const auto& [name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name + "=\"" + escape_label(value) + "\"";
    }
    return text;
}

auto braced(const std::string& labels) -> std::string
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

struct counter::shards
{
    /// Written by one thread, read by any.
    struct cell
    {
        std::atomic<std::uint64_t> value = 0;
    };
    tbb::enumerable_thread_specific<cell> cells;
};

counter::counter() : data(std::make_unique<shards>())
{}

counter::~counter() = default;

auto counter::add(std::uint64_t amount) -> void
{
    this->data->cells.local().value.fetch_add(amount,
                                              std::memory_order_relaxed);
}

auto counter::value() const -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto& cell : this->data->cells) {
        sum += cell.value.load(std::memory_order_relaxed);
    }
    return sum;
}

struct gauge::cell
{
    std::atomic<double> value = 0.0;
};

gauge::gauge() : data(std::make_unique<cell>())
{}

gauge::~gauge() = default;

auto gauge::set(double value) -> void
{
    this->data->value.store(value, std::memory_order_relaxed);
}

auto gauge::value() const -> double
{
    return this->data->value.load(std::memory_order_relaxed);
}

struct metrics_registry::table
{
    struct series
    {
        std::unique_ptr<counter> count;
        std::unique_ptr<gauge> level;
        std::unique_ptr<latency_histogram> latencies;
    };
    struct family
    {
        metric_info info;
        std::map<std::string, series> by_labels;
    };

    auto find(const metric_info& info, const metric_labels& labels) -> series&
    {
        auto& entry = this->families[std::string(info.name)];
        entry.info = info;
        return entry.by_labels[label_text(labels)];
    }

    mutable std::mutex mutex;
    std::map<std::string, family> families;
};

namespace {

auto expose_histogram(std::ostream& out, std::string_view name,
                      const std::string& labels,
                      const latency_histogram& latencies) -> void
{
    const auto prefix = labels.empty() ? "" : labels + ",";
    for (const auto& bucket : latencies.buckets(exposed_edges)) {
        out << name << "_bucket{" << prefix << "le=\"" << bucket.upper_seconds
            << "\"} " << bucket.cumulative_count << "\n";
    }
    out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << latencies.count()
        << "\n";
    out << name << "_sum" << braced(labels) << " " << latencies.sum_seconds()
        << "\n";
    out << name << "_count" << braced(labels) << " " << latencies.count()
        << "\n";
}

} // namespace

metrics_registry::metrics_registry() : data(std::make_unique<table>())
{}

metrics_registry::~metrics_registry() = default;

auto metrics_registry::counter_for(const metric_info& info,
                                   const metric_labels& labels) -> counter&
{
    const auto guard = std::lock_guard(this->data->mutex);
    auto& entry = this->data->find(info, labels);
    if (!entry.count) {
        entry.count = std::make_unique<counter>();
    }
    return *entry.count;
}

auto metrics_registry::gauge_for(const metric_info& info,
                                 const metric_labels& labels) -> gauge&
{
    const auto guard = std::lock_guard(this->data->mutex);
    auto& entry = this->data->find(info, labels);
    if (!entry.level) {
        entry.level = std::make_unique<gauge>();
    }
    return *entry.level;
}

auto metrics_registry::histogram_for(const metric_info& info,
                                     const metric_labels& labels)
    -> latency_histogram&
{
    const auto guard = std::lock_guard(this->data->mutex);
    auto& entry = this->data->find(info, labels);
    if (!entry.latencies) {
        entry.latencies = std::make_unique<latency_histogram>();
    }
    return *entry.latencies;
}

auto metrics_registry::expose() const -> std::string
{
    const auto guard = std::lock_guard(this->data->mutex);
    auto out = std::ostringstream();
    for (const auto& [name, family] : this->data->families) {
        out << "# HELP " << name << " " << family.info.help << "\n";
        out << "# TYPE " << name << " " << kind_text(family.info.kind) << "\n";
        for (const auto& [labels, entry] : family.by_labels) {
            if (entry.count) {
                out << name << braced(labels) << " " << entry.count->value()
                    << "\n";
            }
            if (entry.level) {
                out << name << braced(labels) << " " << entry.level->value()
                    << "\n";
            }
            if (entry.latencies) {
                expose_histogram(out, name, labels, *entry.latencies);
            }
        }
    }
    return out.str();
}

} // namespace almondtiller::core
