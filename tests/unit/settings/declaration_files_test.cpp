#include "settings/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace almondtiller::settings {

namespace {

namespace fs = std::filesystem;

/// A temporary directory that is removed at the end of the test.
class temporary_directory
{
public:
    temporary_directory()
        : path(fs::path(testing::TempDir()) /
               testing::UnitTest::GetInstance()->current_test_info()->name())
    {
        fs::remove_all(this->path);
        fs::create_directories(this->path);
    }
    ~temporary_directory()
    {
        fs::remove_all(this->path);
    }
    temporary_directory(const temporary_directory&) = delete;
    auto operator=(const temporary_directory&) -> temporary_directory& = delete;

    auto write(const std::string& name, const std::string& text) const -> void
    {
        std::ofstream(this->path / name) << text;
    }

    fs::path path;
};

auto lines_of(const loaded_tree& loaded) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (const auto& found : loaded.findings) {
        lines.push_back(to_string(found));
    }
    return lines;
}

} // namespace

TEST(load_tree, merges_a_directory_and_indexes_the_files)
{
    const auto directory = temporary_directory();
    directory.write("a.json", R"({"pools": {"desk": {"queue_limit": 5}}})");
    directory.write("b.json", R"({"pools": {"yard": {}}, "root": {}})");
    directory.write("notes.txt", "no declaration");
    const auto loaded = load_tree(directory.path);
    EXPECT_TRUE(loaded.findings.empty());
    EXPECT_EQ(loaded.tree.document()["pools"].size(), 2U);
    EXPECT_EQ(file_of(loaded.files, "pools/yard/queue_limit"), "b.json");
    EXPECT_EQ(file_of(loaded.files, "pools/desk"), "a.json");
    EXPECT_EQ(file_of(loaded.files, "zones/a"), "");
}

TEST(load_tree, names_both_files_of_a_duplicate)
{
    const auto directory = temporary_directory();
    directory.write("a.json", R"({"pools": {"desk": {}}})");
    directory.write("b.json", R"({"pools": {"desk": {}}})");
    EXPECT_EQ(lines_of(load_tree(directory.path)),
              std::vector<std::string>{
                  "b.json: pools/desk: found declared in a.json already, "
                  "allowed is one declaration [duplicate_declaration]"});
}

TEST(load_tree, reports_a_key_that_occurs_twice_in_one_object)
{
    const auto directory = temporary_directory();
    directory.write("a.json", R"({"pools": {"desk": {}, "desk": {}}})");
    EXPECT_EQ(lines_of(load_tree(directory.path)),
              std::vector<std::string>{
                  "a.json: desk: found two members of that name in one "
                  "object, allowed is one [duplicate_declaration]"});
}

TEST(load_tree, reports_files_that_are_not_declarations)
{
    const auto directory = temporary_directory();
    directory.write("a.json", "{\"pools\": ");
    directory.write("b.json", "[]");
    directory.write("c.json", R"({"pools": []})");
    EXPECT_EQ(lines_of(load_tree(directory.path)),
              (std::vector<std::string>{
                  "a.json: found a syntax error at byte 11, allowed is JSON "
                  "[malformed_json]",
                  "b.json: found array, allowed is a JSON object "
                  "[malformed_json]",
                  "c.json: pools: found [], allowed is an object "
                  "[wrong_type]"}));
    EXPECT_EQ(load_tree(directory.path / "none.json").findings.size(), 1U);
}

TEST(load_tree, reads_a_file_of_49000_workspaces_within_two_seconds)
{
    const auto directory = temporary_directory();
    auto document = nlohmann::json();
    for (auto i = 0; i < 49'000; ++i) {
        document["workspaces"]["workspace-" + std::to_string(i)] = {
            {"weight", 1 + i % 8}};
    }
    directory.write("a.json", document.dump());
    const auto clock = core::runtime_clock();
    const auto begin = clock.now();
    const auto loaded = load_tree(directory.path);
    EXPECT_LT(clock.now() - begin, std::chrono::seconds(2));
    EXPECT_EQ(loaded.tree.document()["workspaces"].size(), 49'000U);
}

TEST(examples, are_valid)
{
    const auto* source = std::getenv("ALMONDTILLER_SOURCE");
    ASSERT_NE(source, nullptr);
    for (const auto* user : {"grua-norte", "ikaze"}) {
        const auto loaded = load_tree(fs::path(source) / "examples" / user);
        EXPECT_TRUE(loaded.findings.empty());
        EXPECT_TRUE(validate(loaded.tree).empty());
        EXPECT_EQ(resolve(loaded.tree, 1)->workspaces.size(), 5U);
        EXPECT_EQ(resolve(loaded.tree, 1)->zones.size(), 3U);
    }
}

RC_GTEST_PROP(quantity, duration_round_trips, ())
{
    const auto value = milliseconds(*rc::gen::inRange(0, 1'000'000'000));
    const auto parsed = parse_duration(format_duration(value));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == value);
}

RC_GTEST_PROP(quantity, size_round_trips, ())
{
    const auto value = std::uint64_t(*rc::gen::inRange(0, 1'000'000'000));
    RC_ASSERT(parse_size(format_size(value)).value() == value);
}

TEST(quantity, rejects_missing_units_and_overflow)
{
    for (const auto* text : {"", "5", "ms", "5 ms", "-5ms", "1.5s", "5S",
                             "9223372036854775807h", "99999999999999999999s"}) {
        EXPECT_FALSE(parse_duration(text)) << text;
    }
    EXPECT_EQ(parse_size("64KiB").value(), 65536U);
    EXPECT_FALSE(parse_size("64KB"));
}

} // namespace almondtiller::settings
