#include "services/operator_api/status_document.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace almondtiller::services {

namespace {

auto make_facts() -> node_facts
{
    auto configuration = settings::snapshot();
    configuration.revision = 4;
    const auto zone = core::zone_name("a");
    configuration.zones[zone] = {zone, core::region_name("r"),
                                 settings::zone_state::out};
    auto facts = node_facts();
    facts.identity.id = core::node_id("n1");
    facts.state = "serving";
    facts.configuration =
        std::make_shared<const settings::snapshot>(configuration);
    return facts;
}

} // namespace

TEST(status_document, merges_the_parts_of_the_services)
{
    const auto status = nlohmann::json::parse(status_document(
        make_facts(), {R"({"revision":3,"leases":[1]})", "not json", "[]",
                       R"({"top":{"pipelines":[]},"pools":[]})"}));
    EXPECT_EQ(status["revision"], 4);
    EXPECT_EQ(status["node"], "n1");
    EXPECT_EQ(status["leases"].size(), 1U);
    EXPECT_EQ(status["zones"][0]["state"], "out");
    EXPECT_TRUE(status.contains("pools"));
    EXPECT_FALSE(status.contains("top"));
}

TEST(top_document, gives_the_top_part)
{
    const auto top = nlohmann::json::parse(
        top_document(make_facts(), {R"({"top":{"pipelines":[7]}})"}));
    EXPECT_EQ(top["pipelines"][0], 7);
    EXPECT_EQ(top["node"], "n1");
    EXPECT_FALSE(nlohmann::json::parse(top_document(make_facts(), {}))
                     .contains("pipelines"));
}

} // namespace almondtiller::services
