#include "fault_kind.h"

#include <csignal>

namespace almondtiller::experiment {

namespace {

auto set_fault(const std::vector<harness::upstream_process*>& members,
               const std::string& json) -> void
{
    for (const auto* member : members) {
        harness::http_call(member->admin_address, "/admin/fault", json);
    }
}

auto set_first_fault(harness::cluster& cluster, const std::string& pool,
                     const std::string& json) -> void
{
    set_fault({cluster.pool(pool).front()}, json);
}

} // namespace

auto every_fault() -> std::vector<fault_kind>
{
    return {fault_kind::slow_stage,         fault_kind::failing_stage,
            fault_kind::killed_engine,      fault_kind::killed_node,
            fault_kind::warm_to_cold,       fault_kind::cut_answers,
            fault_kind::repeated_tokens,    fault_kind::mismatched_answers,
            fault_kind::store_slow,         fault_kind::store_down,
            fault_kind::lost_store_answers, fault_kind::paused_node};
}

auto to_string(fault_kind kind) -> std::string
{
    switch (kind) {
    case fault_kind::slow_stage:
        return "slow stage";
    case fault_kind::failing_stage:
        return "failing stage";
    case fault_kind::killed_engine:
        return "killed engine";
    case fault_kind::killed_node:
        return "killed node";
    case fault_kind::warm_to_cold:
        return "warm to cold";
    case fault_kind::cut_answers:
        return "cut answers";
    case fault_kind::repeated_tokens:
        return "repeated tokens";
    case fault_kind::mismatched_answers:
        return "mismatched answers";
    case fault_kind::store_slow:
        return "store slow";
    case fault_kind::store_down:
        return "store down";
    case fault_kind::lost_store_answers:
        return "lost store answers";
    case fault_kind::paused_node:
        return "paused node";
    }
    return "";
}

auto begin_fault(harness::cluster& cluster, fault_kind kind,
                 const std::string& engines, const std::string& service) -> void
{
    switch (kind) {
    case fault_kind::slow_stage:
        set_first_fault(cluster, service, R"({"mode":"slow","factor":20})");
        break;
    case fault_kind::failing_stage:
        set_first_fault(cluster, service, R"({"mode":"fail"})");
        break;
    case fault_kind::killed_engine:
        cluster.pool(engines).at(1)->program->kill();
        break;
    case fault_kind::killed_node:
        cluster.nodes().at(0).program->kill();
        break;
    case fault_kind::warm_to_cold:
        harness::http_call(cluster.pool(engines).at(2)->admin_address,
                           "/admin/turn-cold", "{}");
        break;
    case fault_kind::cut_answers:
        set_fault(cluster.pool(engines),
                  R"({"mode":"cut","probability":0.01})");
        break;
    case fault_kind::repeated_tokens:
        set_fault(cluster.pool(engines),
                  R"({"mode":"repeat_tokens","probability":0.005})");
        break;
    case fault_kind::mismatched_answers:
        set_fault(cluster.pool(service),
                  R"({"mode":"mismatch","probability":0.05})");
        break;
    case fault_kind::store_slow:
        cluster.set_platform_fault(R"({"mode":"slow","delay_ms":500})");
        break;
    case fault_kind::store_down:
        cluster.set_platform_fault(R"({"mode":"down"})");
        break;
    case fault_kind::lost_store_answers:
        cluster.set_platform_fault(
            R"({"mode":"drop_answers","probability":0.5,"seed":7})");
        break;
    case fault_kind::paused_node:
        cluster.nodes().at(1).program->signal(SIGSTOP);
        break;
    }
}

auto end_fault(harness::cluster& cluster, fault_kind kind) -> void
{
    if (kind == fault_kind::paused_node) {
        cluster.nodes().at(1).program->signal(SIGCONT);
    } else if (kind == fault_kind::store_slow ||
               kind == fault_kind::store_down ||
               kind == fault_kind::lost_store_answers) {
        cluster.set_platform_fault(R"({"mode":"up"})");
    }
}

} // namespace almondtiller::experiment
