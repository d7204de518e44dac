#include "settings/cross_checks.h"

#include "settings/level_check.h"
#include "settings/quantity.h"
#include "settings/resolution.h"
#include "settings/settings_errc.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

/// Checks effective settings against each other and collects the findings.
class cross_checker
{
public:
    explicit cross_checker(const snapshot& effective) : effective(effective)
    {
        for (const auto& [name, pool] : effective.pools) {
            this->pool_names.push_back(name.str());
        }
    }

    auto check_pipeline(const pipeline_settings& pipeline, const json& stages)
        -> void
    {
        const auto path = "pipelines/" + pipeline.name.str();
        this->check_deadlines(pipeline, path);
        auto names = std::set<core::stage_name>();
        for (auto i = std::size_t(0); i < pipeline.stages.size(); ++i) {
            const auto& stage = pipeline.stages[i];
            const auto stage_location = stage_path(path + "/stages", stages, i);
            if (!stage.name.empty() && !names.insert(stage.name).second) {
                this->add(settings_errc::duplicate_declaration, stage_location,
                          "two stages of that name", "one");
            }
            this->check_pool(stage, stage_location);
            this->check_attempts(stage, stage_location);
        }
    }

    auto check_pool_bounds(const pool_settings& pool) -> void
    {
        if (pool.min_concurrency > pool.max_concurrency) {
            this->add(settings_errc::inconsistent,
                      "pools/" + pool.name.str() + "/min_concurrency",
                      std::to_string(pool.min_concurrency),
                      "at most max_concurrency, " +
                          std::to_string(pool.max_concurrency));
        }
    }

    auto check_zones() -> void
    {
        const auto& zones = this->effective.zones;
        const auto is_out = [](const auto& zone) {
            return zone.second.state == zone_state::out;
        };
        if (!zones.empty() && std::all_of(zones.begin(), zones.end(), is_out)) {
            this->add(settings_errc::inconsistent, all_zones_out_path,
                      "every availability zone out",
                      "one zone in, unless --force is given");
        }
    }

    auto check_fleet() -> void
    {
        const auto& fleet = this->effective.fleet;
        if (fleet.leave_delay <= fleet.endpoint_lifetime) {
            this->add(settings_errc::inconsistent, "root/leave_delay",
                      format_duration(fleet.leave_delay),
                      "more than endpoint_lifetime, " +
                          format_duration(fleet.endpoint_lifetime));
        }
    }

    std::vector<finding> findings;

private:
    auto check_deadlines(const pipeline_settings& pipeline,
                         const std::string& path) -> void
    {
        if (pipeline.default_deadline > pipeline.max_deadline) {
            this->add(settings_errc::inconsistent, path + "/default_deadline",
                      format_duration(pipeline.default_deadline),
                      "at most max_deadline, " +
                          format_duration(pipeline.max_deadline));
        }
        auto needed = milliseconds(0);
        for (const auto& stage : pipeline.stages) {
            needed += stage.min_budget;
        }
        if (needed > pipeline.default_deadline) {
            this->add(settings_errc::inconsistent, path + "/stages",
                      "stages that need " + format_duration(needed) +
                          " by min_budget",
                      "at most default_deadline, " +
                          format_duration(pipeline.default_deadline));
        }
    }

    auto check_pool(const stage_settings& stage, const std::string& path)
        -> void
    {
        if (stage.pool.empty()) {
            return;
        }
        const auto* pool = this->effective.find_pool(stage.pool);
        if (pool == nullptr) {
            this->add(settings_errc::missing_reference, path + "/pool",
                      "the pool " + stage.pool.str(),
                      suggest(stage.pool.str(), this->pool_names));
            return;
        }
        const auto& models = pool->models;
        const auto found = std::find(models.begin(), models.end(), stage.model);
        if (!stage.model.empty() && !models.empty() && found == models.end()) {
            this->add(settings_errc::missing_reference, path + "/model",
                      "the model " + stage.model, suggest(stage.model, models));
        }
    }

    auto check_attempts(const stage_settings& stage, const std::string& path)
        -> void
    {
        if (!stage.idempotent && stage.max_attempts != 1) {
            this->add(settings_errc::inconsistent, path + "/max_attempts",
                      std::to_string(stage.max_attempts),
                      "1, as the stage is not idempotent");
        }
        if (!stage.idempotent && stage.hedge) {
            this->add(settings_errc::inconsistent, path + "/hedge", "true",
                      "false, as the stage is not idempotent");
        }
        if (stage.idempotent && stage.hedge && stage.max_attempts == 1) {
            this->add(settings_errc::inconsistent, path + "/hedge", "true",
                      "false, as max_attempts is 1");
        }
    }

    auto add(settings_errc code, std::string path, std::string found,
             std::string allowed) -> void
    {
        this->findings.push_back({make_error_code(code), "", std::move(path),
                                  std::move(found), std::move(allowed)});
    }

    const snapshot& effective;
    std::vector<std::string> pool_names;
};

} // namespace

auto cross_check(const json& document, const snapshot& effective)
    -> std::vector<finding>
{
    auto checker = cross_checker(effective);
    const auto& pipelines = object_member(document, "pipelines");
    for (const auto& [name, pipeline] : effective.pipelines) {
        checker.check_pipeline(pipeline,
                               declared_stages(pipelines.at(name.str())));
    }
    for (const auto& [name, pool] : effective.pools) {
        checker.check_pool_bounds(pool);
    }
    checker.check_zones();
    checker.check_fleet();
    return std::move(checker.findings);
}

} // namespace almondtiller::settings
