#include "rollout/report_ledger.h"

#include "rollout/reference_window.h"

#include <algorithm>
#include <utility>

namespace almondtiller::rollout {

namespace {

auto is_outdated(const node_report& report, const node_report& taken) -> bool
{
    return report.order_age < taken.order_age || report.sent < taken.sent ||
           report.applied.number < taken.applied.number;
}

auto counted_since(const answers_by_key& newer, const answers_by_key& older)
    -> answers_by_key
{
    auto result = answers_by_key();
    for (const auto& [key, counts] : newer) {
        const auto found = older.find(key);
        const auto before =
            found == older.end() ? answer_counts() : found->second;
        if (counts != before) {
            result.emplace(key, difference(counts, before));
        }
    }
    return result;
}

} // namespace

auto report_ledger::take(node_report report) -> std::optional<answers_by_key>
{
    auto& history = this->nodes[report.node];
    const auto found = history.reports.find(report.incarnation);
    if (found == history.reports.end()) {
        history.incarnation = report.incarnation;
        auto counted = report.counts;
        history.reports.emplace(report.incarnation, std::move(report));
        return counted;
    }
    if (is_outdated(report, found->second)) {
        return std::nullopt;
    }
    auto counted = counted_since(report.counts, found->second.counts);
    found->second = std::move(report);
    return counted;
}

auto report_ledger::totals() const -> sent_totals
{
    auto sum = sent_totals();
    for (const auto& [node, history] : this->nodes) {
        for (const auto& [incarnation, report] : history.reports) {
            sum.sent += report.sent;
            sum.sent_new += report.sent_new;
        }
    }
    return sum;
}

auto report_ledger::latest(const core::node_id& node) const
    -> const node_report*
{
    const auto found = this->nodes.find(node);
    if (found == this->nodes.end()) {
        return nullptr;
    }
    return &found->second.reports.at(found->second.incarnation);
}

auto report_ledger::has_all(const std::set<core::node_id>& nodes) const -> bool
{
    return std::ranges::all_of(nodes, [this](const core::node_id& node) {
        return this->latest(node) != nullptr;
    });
}

auto report_ledger::open_at_old(const std::set<core::node_id>& nodes) const
    -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto& node : nodes) {
        const auto* report = this->latest(node);
        sum += report == nullptr ? 0 : report->open_at_old;
    }
    return sum;
}

} // namespace almondtiller::rollout
