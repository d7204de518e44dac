#include "tillerctl/status_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <string>
#include <vector>

namespace almondtiller::tillerctl {

namespace {

using nlohmann::json;
using table_row = std::vector<std::string>;

auto cell(const json& value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

auto print_rows(const std::vector<table_row>& rows, std::ostream& out) -> void
{
    auto widths = std::vector<std::size_t>();
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (auto i = std::size_t(0); i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows) {
        for (auto i = std::size_t(0); i < row.size(); ++i) {
            out << std::left << std::setw(int(widths[i]) + 2) << row[i];
        }
        out << '\n';
    }
}

/// Prints a list of objects; the columns are the members of the first one.
auto print_list(const std::string& title, const json& list, std::ostream& out)
    -> void
{
    if (!list.is_array() || list.empty() || !list.front().is_object()) {
        return;
    }
    auto header = table_row();
    for (const auto& [key, value] : list.front().items()) {
        header.push_back(key);
    }
    auto rows = std::vector<table_row>{header};
    for (const auto& item : list) {
        auto& row = rows.emplace_back();
        for (const auto& key : header) {
            row.push_back(item.contains(key) ? cell(item[key]) : "-");
        }
    }
    out << '\n' << title << '\n';
    print_rows(rows, out);
}

/// \return One row an upstream, with the name of its pool.
auto upstream_rows(const json& pools) -> json
{
    auto rows = json::array();
    for (const auto& pool : pools) {
        for (auto upstream : pool.value("upstreams", json::array())) {
            upstream["pool"] = pool.value("pool", "");
            rows.push_back(std::move(upstream));
        }
    }
    return rows;
}

} // namespace

auto print_status(const json& status, std::ostream& out) -> void
{
    auto rows = std::vector<table_row>();
    for (const auto& [key, value] : status.items()) {
        if (!value.is_array() && !value.is_object()) {
            rows.push_back({key, cell(value)});
        }
    }
    print_rows(rows, out);
    for (const auto& [key, value] : status.items()) {
        if (key == "pools") {
            print_list("upstreams", upstream_rows(value), out);
        } else {
            print_list(key, value, out);
        }
    }
}

auto print_top(const json& top, std::ostream& out) -> void
{
    auto pipelines = top.value("pipelines", json::array());
    auto stages = json::array();
    for (auto& pipeline : pipelines) {
        for (auto stage : pipeline.value("stages", json::array())) {
            stage["pipeline"] = pipeline.value("pipeline", "");
            stages.push_back(std::move(stage));
        }
        pipeline.erase("stages");
    }
    if (pipelines.empty()) {
        out << "no requests since the start of the node\n";
    }
    print_list("pipelines", pipelines, out);
    print_list("stages", stages, out);
}

} // namespace almondtiller::tillerctl
