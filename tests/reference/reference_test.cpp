#include "settings/reference.h"
#include "source_scan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

namespace almondtiller::reference {

namespace {

namespace fs = std::filesystem;

auto source_root() -> fs::path
{
    const auto* root = std::getenv("ALMONDTILLER_SOURCE");
    return root == nullptr ? fs::path(".") : fs::path(root);
}

auto read_text(const fs::path& path) -> std::string
{
    auto stream = std::ifstream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Compares a page with what the code gives; writes it instead when
/// ALMONDTILLER_WRITE_REFERENCE is set, as scripts/reference does.
auto check_page(const std::string& name, const std::string& wanted) -> void
{
    const auto path = source_root() / "docs" / "reference" / name;
    if (std::getenv("ALMONDTILLER_WRITE_REFERENCE") != nullptr) {
        fs::create_directories(path.parent_path());
        std::ofstream(path) << wanted;
        return;
    }
    EXPECT_EQ(read_text(path), wanted)
        << "docs/reference/" << name
        << " is not what the code gives; run scripts/reference";
}

/// \return Every metric name that a source file mentions.
auto mentioned_metrics() -> std::set<std::string>
{
    const auto pattern = std::regex(R"re("(almondtiller_[a-z_]+)",)re");
    auto names = std::set<std::string>();
    const auto sources = source_root() / "src";
    for (const auto& entry : fs::recursive_directory_iterator(sources)) {
        if (!entry.is_regular_file()) {
            continue;
        }
        const auto text = read_text(entry.path());
        auto match = std::sregex_iterator(text.begin(), text.end(), pattern);
        for (; match != std::sregex_iterator(); ++match) {
            names.insert((*match)[1].str());
        }
    }
    return names;
}

} // namespace

TEST(reference, settings_page_is_up_to_date)
{
    check_page("settings.md", settings::settings_reference());
}

TEST(reference, errors_page_is_up_to_date)
{
    const auto rows = scan_errors(source_root() / "src");
    EXPECT_GT(rows.size(), 30U);
    EXPECT_TRUE(std::none_of(rows.begin(), rows.end(), [](const auto& row) {
        return row.category.empty();
    }));
    check_page("errors.md", errors_page(rows));
}

TEST(reference, metrics_page_is_up_to_date)
{
    const auto rows = scan_metrics(source_root() / "src");
    EXPECT_GT(rows.size(), 5U);
    auto found = std::set<std::string>();
    for (const auto& row : rows) {
        found.insert(row.name);
    }
    EXPECT_EQ(found, mentioned_metrics());
    check_page("metrics.md", metrics_page(rows));
}

} // namespace almondtiller::reference
