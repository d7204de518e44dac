#include "harness/harness.h"
#include "load/load.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace almondtiller {

namespace {

/// A stand-in with its journal, both gone at the end of the test.
class standin_run
{
public:
    standin_run(const std::string& program, std::vector<std::string> flags)
        : path(testing::TempDir() + program + "-" + std::to_string(++count))
    {
        std::remove(this->journal().c_str());
        flags.insert(flags.end(), {"--journal", this->journal()});
        this->program = std::make_unique<harness::process>(program, flags,
                                                           this->path + ".log");
        this->address = this->program->wait_for_line("listening ");
    }

    [[nodiscard]] auto journal() const -> std::string
    {
        return this->path + ".journal";
    }

    [[nodiscard]] auto summary() const -> harness::journal_summary
    {
        return harness::summarize(harness::read_journals({this->journal()}));
    }

    auto set_fault(const std::string& json) const -> void
    {
        EXPECT_EQ(
            harness::http_call(this->address, "/admin/fault", json).status,
            200);
    }

    std::string address;
    std::unique_ptr<harness::process> program;

private:
    static inline int count = 0;
    std::string path;
};

auto generate_request(const std::string& attempt) -> load::upstream_request
{
    auto request = load::upstream_request();
    request.attempt = attempt;
    request.request = "request-" + attempt;
    request.kind = "generate";
    request.stream = true;
    request.input = R"({"marker":"m","answer_tokens":6})";
    return request;
}

} // namespace

TEST(fake_engine, streams_a_whole_answer)
{
    const auto engine = standin_run("fake_engine", {});
    auto connection = load::upstream_connection(engine.address);
    const auto reply = connection.call(generate_request("a"));
    EXPECT_TRUE(reply.complete);
    EXPECT_EQ(reply.tokens, 6U);
    EXPECT_EQ(engine.summary().ended, 1U);
}

TEST(fake_engine, falls_over_past_what_it_bears_while_cold)
{
    const auto engine = standin_run(
        "fake_engine", {"--cold", "--cold-capacity", "1", "--token-ms", "50"});
    auto arrivals = load::schedule(3, core::duration::zero());
    load::run_open_loop(arrivals, arrivals.size(), [&](auto index, auto, auto) {
        auto connection = load::upstream_connection(engine.address);
        const auto reply =
            connection.call(generate_request(std::to_string(index)));
        EXPECT_FALSE(reply.complete);
    });
    EXPECT_EQ(engine.summary().falls, 1U);
    EXPECT_EQ(engine.summary().over_cold, 1U);
}

TEST(fake_engine, bears_one_request_at_a_time_while_cold)
{
    const auto engine =
        standin_run("fake_engine", {"--cold", "--cold-capacity", "1"});
    auto connection = load::upstream_connection(engine.address);
    for (auto index = 0; index < 12; ++index) {
        EXPECT_TRUE(
            connection.call(generate_request(std::to_string(index))).complete);
    }
    EXPECT_EQ(engine.summary().falls, 0U);
}

TEST(fake_engine, gives_answers_that_are_not_whole_under_faults)
{
    const auto engine = standin_run("fake_engine", {});
    for (const auto* mode : {"cut", "mismatch", "fail", "refuse"}) {
        engine.set_fault(std::string(R"({"mode":")") + mode + R"("})");
        auto connection = load::upstream_connection(engine.address);
        EXPECT_FALSE(connection.call(generate_request(mode)).complete) << mode;
    }
    engine.set_fault(R"({"mode":"none"})");
    auto connection = load::upstream_connection(engine.address);
    EXPECT_TRUE(connection.call(generate_request("z")).complete);
}

TEST(fake_engine, refuses_a_stale_fencing_number_only_when_told_to)
{
    const auto order = [](const standin_run& engine, int fencing) {
        const auto body = R"({"order":"o","fencing":)" +
                          std::to_string(fencing) +
                          R"(,"desired":{"models":["m"]}})";
        return harness::http_call(engine.address, "/v1/orders", body).status;
    };
    const auto strict = standin_run("fake_engine", {"--check-fencing"});
    const auto lax = standin_run("fake_engine", {});
    EXPECT_EQ(order(strict, 2), 200);
    EXPECT_EQ(order(strict, 1), 409);
    EXPECT_EQ(order(lax, 2), 200);
    EXPECT_EQ(order(lax, 1), 200);
}

TEST(fault_proxy, disturbs_what_it_passes_on)
{
    const auto service = standin_run("fake_service", {});
    auto proxy = harness::process("fault_proxy", {"--target", service.address},
                                  testing::TempDir() + "fault_proxy.log");
    const auto admin = proxy.wait_for_line("listening ");
    const auto address = proxy.wait_for_line("proxying ");
    const auto status_under = [&](const std::string& mode) {
        harness::http_call(admin, "/admin/fault",
                           R"({"mode":")" + mode + R"(","after_bytes":20})");
        return harness::http_call(address, "/v1/load", "",
                                  core::milliseconds(300))
            .status;
    };
    EXPECT_EQ(status_under("pass"), 200);
    EXPECT_EQ(status_under("black_hole"), 0);
    EXPECT_EQ(status_under("refuse"), 0);
    EXPECT_EQ(status_under("cut"), 0);
    EXPECT_EQ(status_under("one_way"), 0);
    EXPECT_EQ(status_under("freeze"), 0);
    EXPECT_EQ(status_under("pass"), 200);
}

} // namespace almondtiller
