#include "platform_server.h"
#include "run_command.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace almondtiller::tillerctl {

namespace {

namespace fs = std::filesystem;

constexpr auto far_revision = std::uint64_t(1000);

class commands : public testing::Test
{
protected:
    commands()
        : directory(
              fs::path(testing::TempDir()) /
              testing::UnitTest::GetInstance()->current_test_info()->name())
    {
        fs::create_directories(this->directory);
        this->declare(R"({"zones": {"a": {}, "b": {}},
            "pools": {"desk": {"queue_limit": 7}}})");
        this->server.node_revision = far_revision;
    }
    ~commands() override
    {
        fs::remove_all(this->directory);
    }

    auto declare(const std::string& text) const -> void
    {
        std::ofstream(this->directory / "tree.json") << text;
    }

    auto run(std::vector<std::string> words) -> call_result
    {
        words.push_back("--platform=" + this->server.platform.address());
        words.push_back("--node=" + this->server.node.address());
        words.push_back("--who=ane");
        return run_command(std::move(words));
    }

    auto apply(const std::string& flag = "--timeout=2s") -> call_result
    {
        return this->run({"apply", this->directory.string(), flag});
    }

    fs::path directory;
    platform_server server;
};

} // namespace

TEST_F(commands, apply_waits_until_the_revision_is_in_force)
{
    const auto applied = this->apply();
    EXPECT_EQ(applied.status, exit_status::success) << applied.err;
    EXPECT_NE(applied.out.find("the platform answered the update"),
              std::string::npos);
    EXPECT_NE(applied.err.find("in force on 1 of 1 nodes"), std::string::npos);
    this->server.node_revision = 0;
    this->declare(R"({"pools": {"desk": {"queue_limit": 8}}})");
    const auto late = this->apply("--timeout=300ms");
    EXPECT_EQ(late.status, exit_status::not_in_force);
    EXPECT_NE(late.err.find("for example not on n1"), std::string::npos);
}

TEST_F(commands, apply_keeps_what_is_not_declared_unless_pruned)
{
    ASSERT_EQ(this->apply().status, exit_status::success);
    this->declare(R"({"zones": {"a": {}, "b": {}}})");
    EXPECT_EQ(this->run({"diff", this->directory.string()}).status,
              exit_status::success);
    const auto pruned =
        this->run({"diff", this->directory.string(), "--prune"});
    EXPECT_EQ(pruned.status, exit_status::has_differences);
    EXPECT_EQ(pruned.out, "removed  pools  {\"desk\":{\"queue_limit\":7}}\n");
    ASSERT_EQ(this->apply("--prune").status, exit_status::success);
    EXPECT_EQ(this->run({"get", "pools/desk"}).status, exit_status::failure);
}

TEST_F(commands, apply_of_wrong_declarations_calls_nobody)
{
    ASSERT_EQ(this->apply().status, exit_status::success);
    const auto before = this->server.stats();
    this->declare(R"({"pools": {"desk": {"queue_limit": 0}}})");
    const auto refused = this->apply();
    EXPECT_EQ(refused.status, exit_status::failure);
    EXPECT_EQ(refused.out,
              "tree.json: pools/desk/queue_limit: found 0, allowed is an "
              "integer from 1 to 65536 [out_of_range]\n");
    EXPECT_EQ(this->server.stats(), before);
}

TEST_F(commands, dry_run_changes_nothing)
{
    EXPECT_EQ(this->apply("--dry-run").status, exit_status::success);
    EXPECT_EQ(this->run({"get"}).out, "{}\n");
}

TEST_F(commands, lost_answer_is_settled_by_the_list_of_changes)
{
    ASSERT_EQ(this->apply().status, exit_status::success);
    this->server.set_fault(R"({"mode": "drop_answers"})");
    const auto lost = this->run({"zone", "out", "a"});
    EXPECT_EQ(lost.status, exit_status::success) << lost.out << lost.err;
    EXPECT_NE(lost.out.find("list of changes was read again"),
              std::string::npos);
}

TEST_F(commands, platform_that_is_down_is_said_so)
{
    this->server.set_fault(R"({"mode": "down"})");
    const auto refused = this->apply("--timeout=300ms");
    EXPECT_EQ(refused.status, exit_status::unreachable);
    EXPECT_NE(refused.err.find("[unavailable]"), std::string::npos);
}

TEST_F(commands, last_zone_leaves_only_by_force)
{
    ASSERT_EQ(this->apply().status, exit_status::success);
    EXPECT_EQ(this->run({"zone", "out", "a"}).status, exit_status::success);
    EXPECT_EQ(this->run({"zone", "out", "b"}).status, exit_status::not_applied);
    EXPECT_EQ(this->run({"zone", "out", "b", "--force"}).status,
              exit_status::success);
    EXPECT_EQ(this->run({"explain", "zones/b/state"}).out.substr(0, 45),
              "zones/b/state = \"out\"\n  set by tillerctl zone");
    EXPECT_EQ(this->run({"zone", "in", "b"}).status, exit_status::success);
    EXPECT_EQ(this->run({"zone", "out", "none"}).status,
              exit_status::not_applied);
}

TEST_F(commands, history_records_who_and_what)
{
    ASSERT_EQ(this->apply().status, exit_status::success);
    ASSERT_EQ(this->run({"zone", "out", "a"}).status, exit_status::success);
    const auto history = this->run({"history"}).out;
    EXPECT_NE(history.find("ane  zone out a"), std::string::npos);
    EXPECT_NE(history.find("ane  apply "), std::string::npos);
}

TEST_F(commands, explain_names_the_level)
{
    ASSERT_EQ(this->apply().status, exit_status::success);
    const auto json =
        this->run({"explain", "pools/desk/queue_limit", "-o", "json"}).out;
    EXPECT_NE(json.find(R"("origin": "pools/desk/queue_limit")"),
              std::string::npos);
    EXPECT_NE(json.find(R"("value": 7)"), std::string::npos);
    EXPECT_EQ(this->run({"explain", "pools/desk/weight"}).status,
              exit_status::failure);
}

TEST_F(commands, drain_finds_the_node_by_its_id)
{
    EXPECT_EQ(this->run({"drain", "n1"}).status, exit_status::success);
    EXPECT_EQ(this->server.drains, 1);
    EXPECT_EQ(this->run({"drain", "n2"}).status, exit_status::failure);
    EXPECT_NE(this->run({"status"}).out.find("serving"), std::string::npos);
}

TEST_F(commands, wrong_calls_exit_with_usage)
{
    const auto wrong = std::vector<std::vector<std::string>>{
        {},
        {"frobnicate"},
        {"apply"},
        {"zone", "out"},
        {"zone", "over", "a"},
        {"status", "--colour"},
        {"status", "--output=xml"},
        {"status", "--timeout=5"},
        {"reference", "nothing"},
    };
    for (const auto& words : wrong) {
        const auto result = this->run(words);
        EXPECT_EQ(result.status, exit_status::usage);
        EXPECT_EQ(result.out, "");
        EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1);
    }
}

TEST_F(commands, help_shows_an_example_of_each)
{
    const auto help = this->run({"--help"}).out;
    for (const auto& row : command_table()) {
        EXPECT_NE(help.find(row.example), std::string::npos);
        const auto own = this->run({std::string(row.name), "--help"});
        EXPECT_EQ(own.status, exit_status::success);
        EXPECT_NE(own.out.find(row.example), std::string::npos);
    }
}

} // namespace almondtiller::tillerctl
