#pragma once

#include "fake_services.h"
#include "fake_upstream.h"
#include "gate.h"
#include "kernel/kernel.h"
#include "services/http/http_service.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::services {

/// What a caller got.
struct caller_answer
{
    int status = 0;
    nlohmann::json body;
    std::string text;
};

/// A node in this process between a caller and fake upstreams. The pipelines
/// are "plan" (generate, idempotent) and "confirm" (call, not idempotent),
/// both in the pool "pool"; the workspace is "w".
class node_fixture : public ::testing::Test
{
protected:
    ~node_fixture() override;

    /// Starts a node before upstreams with these scripts.
    auto start(const std::vector<fake_upstream::script>& scripts) -> void;

    auto grant_cold_slots() -> void;

    /// Adds an instance at an address where nothing listens.
    auto add_dead_upstream() -> void;
    auto call(const nlohmann::json& body) -> caller_answer;
    auto call_text(const std::string& body) -> caller_answer;

    /// \return The exposition, to look for counters in.
    [[nodiscard]] auto metrics() -> std::string;

    // Scripts use these on the upstreams' threads, which end before them.
    gate held;
    std::atomic<int> run_count = 0;

    std::unique_ptr<kernel::service_kernel> kernel;
    std::vector<std::unique_ptr<fake_upstream>> upstreams;
    std::vector<platform::instance> instances;
    fake_directory* directory = nullptr;
    http_service* http = nullptr;
    http_options options;
};

/// \return A request for a pipeline with 800 ms.
[[nodiscard]] auto request_for(const std::string& pipeline) -> nlohmann::json;

} // namespace almondtiller::services
