#include "output.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iomanip>
#include <map>
#include <sstream>

namespace almondtiller::experiment {

namespace {

using nlohmann::json;

constexpr auto panel_width = 360.0;
constexpr auto panel_height = 260.0;
constexpr auto margin = 50.0;
constexpr auto max_load = 1.3;
constexpr auto percent = 100.0;
constexpr auto colours = std::array{"#1b6ca8", "#c0392b", "#7f8c8d"};

auto to_json(const run_row& row) -> json
{
    auto costs = json::object();
    for (const auto& [pool, cost] : row.cost_by_pool) {
        costs[pool] = {{"starts", cost.starts},
                       {"busy_seconds", cost.busy_seconds}};
    }
    return {{"user", row.user},
            {"policy", row.policy},
            {"faults", row.faults},
            {"load", row.load},
            {"requests", row.requests},
            {"attainment", row.attainment},
            {"goodput", row.goodput},
            {"attainment_by_class", row.attainment_by_class},
            {"cost_by_pool", costs},
            {"lost", row.lost},
            {"crossed", row.crossed},
            {"run_twice", row.run_twice},
            {"false_not_run", row.false_not_run},
            {"over_cold", row.over_cold},
            {"outcomes", row.outcomes}};
}

/// The lines of one panel by policy: points of load and attainment.
using panel = std::map<std::string, std::map<double, double>>;

auto draw_panel(const std::string& title, const panel& lines, double left)
    -> std::string
{
    auto text = std::ostringstream();
    const auto bottom = margin + panel_height;
    text << "<text x='" << left << "' y='30'>" << title
         << ": attainment over load</text>\n<rect x='" << left << "' y='"
         << margin << "' width='" << panel_width << "' height='" << panel_height
         << "' fill='none' stroke='#333'/>\n";
    auto index = std::size_t(0);
    for (const auto& [policy, points] : lines) {
        const auto* colour = colours[index % colours.size()];
        text << "<polyline fill='none' stroke='" << colour
             << "' stroke-width='2' points='";
        for (const auto& [load, attainment] : points) {
            text << left + panel_width * load / max_load << ','
                 << bottom - panel_height * attainment << ' ';
        }
        ++index;
        text << "'/>\n<text fill='" << colour << "' x='" << left + 8 << "' y='"
             << bottom - 16.0 * double(index) << "'>" << policy << "</text>\n";
    }
    for (const auto load : {0.5, 0.8, 1.0, 1.2}) {
        text << "<text x='" << left + panel_width * load / max_load - 10
             << "' y='" << bottom + 18 << "'>" << load * percent
             << " %</text>\n";
    }
    return text.str();
}

} // namespace

auto to_json(const std::vector<run_row>& rows) -> std::string
{
    auto all = json::array();
    for (const auto& row : rows) {
        all.push_back(to_json(row));
    }
    return all.dump(1);
}

auto table_heading() -> std::string
{
    return "user        policy                        load  requests  "
           "attained  goodput/s  lost  crossed  twice  false  cold  faults";
}

auto to_line(const run_row& row) -> std::string
{
    auto line = std::ostringstream();
    line << std::left << std::setw(12) << row.user << std::setw(30)
         << row.policy << std::right << std::fixed << std::setprecision(2)
         << std::setw(4) << row.load << std::setw(10) << row.requests
         << std::setprecision(1) << std::setw(8) << row.attainment * percent
         << " %" << std::setw(11) << row.goodput << std::setw(6) << row.lost
         << std::setw(9) << row.crossed << std::setw(7) << row.run_twice
         << std::setw(7) << row.false_not_run << std::setw(6) << row.over_cold
         << "  " << row.faults << "\n    by class:" << std::setprecision(1);
    for (const auto& [name, attainment] : row.attainment_by_class) {
        line << ' ' << name << ' ' << attainment * percent << " %";
    }
    line << "; starts by pool:";
    for (const auto& [pool, cost] : row.cost_by_pool) {
        line << ' ' << pool << ' ' << cost.starts;
    }
    line << "\n    " << row.outcomes;
    return line.str();
}

auto to_svg(const std::vector<run_row>& rows) -> std::string
{
    auto panels = std::map<std::string, panel>();
    for (const auto& row : rows) {
        if (row.faults.empty()) {
            panels[row.user][row.policy][row.load] = row.attainment;
        }
    }
    auto text = std::ostringstream();
    const auto width = margin + double(panels.size()) * (panel_width + margin);
    text << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
         << "' height='" << panel_height + 2 * margin
         << "' font-family='sans-serif' font-size='12'>\n"
         << "<rect width='100%' height='100%' fill='white'/>\n";
    auto left = margin;
    for (const auto& [user, lines] : panels) {
        text << draw_panel(user, lines, left);
        left += panel_width + margin;
    }
    text << "</svg>\n";
    return text.str();
}

} // namespace almondtiller::experiment
